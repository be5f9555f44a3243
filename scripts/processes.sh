# Sourced by the scripts that run the system as processes: starts the processes, waits for
# them, and stops them when the script ends. Needs bin, the folder of the programs. Sets
# work to a scratch folder.
work=$(mktemp -d)
pids=()
last=
stop() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT

# run NAME COMMAND...: starts a process in the background and sets last to its process id.
run() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  last=$!
  disown "$last"
  pids+=("$last")
}

# ready URL: waits up to 10 s until the URL answers.
ready() {
  "$bin/faker" await "$1" && return 0
  tail -n 5 "$work"/*.log >&2
  return 1
}

# host NAME IP PORTS LIMITS [ZONE [REGION]]: writes the settings of a host that
# listens at PORTS1 (callers), PORTS2 (hosts) and PORTS3 (operators).
host() {
  cat >"$work/$1.jsonc" <<EOT
{"name": "$1", "zone": "${5:-zone-a}", "region": "${6:-region}",
 "listen": "$2:${3}1", "control": "$2:${3}2", "admin": "$2:${3}3",
 "platform": "$CICADAWOOD_PLATFORM", "limits": {$4}}
EOT
}
