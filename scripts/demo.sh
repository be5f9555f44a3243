#!/usr/bin/env bash
# The whole path as separate processes on loopback: a fake platform, fake engines
# and plain services, four hosts in two availability zones. One host is killed
# half way. Usage: demo.sh DIR-OF-BINARIES
set -euo pipefail
bin=$1
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()
stop() {
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT
run() { # NAME COMMAND...: starts a process in the background
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}
ready() { # URL: waits until it answers, 10 s at most
  for _ in $(seq 200); do
    curl -fsS -o /dev/null "$1" 2>/dev/null && return 0
    sleep 0.05
  done
  echo "demo: $1 does not answer" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

export CICADAWOOD_PLATFORM=http://127.0.0.1:17000
run platform "$bin/faker" platform 127.0.0.1:17000
for i in 1 2 3; do run "engine$i" "$bin/faker" engine "lm-$i" "127.0.0.1:1710$i"; done
for i in 1 2; do run "service$i" "$bin/faker" service "book-$i" "127.0.0.1:1720$i"; done
hosts=()
for i in 1 2 3 4; do
  zone=gdansk-a
  [ "$i" -gt 2 ] && zone=gdynia
  cat >"$work/host$i.jsonc" <<EOT
{"name": "host-$i", "zone": "$zone", "region": "pomorze",
 "listen": "127.0.0.1:1801$i", "control": "127.0.0.1:1802$i", "admin": "127.0.0.1:1803$i",
 "platform": "$CICADAWOOD_PLATFORM", "limits": {"settle": "1s"}}
EOT
  hosts+=(--host "127.0.0.1:1801$i")
done
ready "$CICADAWOOD_PLATFORM/calls"
for i in 1 2 3 4; do run "host$i" "$bin/cicadawood" serve "$work/host$i.jsonc"; done
victim=${pids[-1]}
"$bin/cicadawood" check "$root/examples/demo"
"$bin/cicadawood" push "$root/examples/demo"
for i in 1 2 3 4; do ready "http://127.0.0.1:1801$i/readyz"; done
"$bin/cicadawood" status
(sleep 8 && kill -9 "$victim") &
status=0
"$bin/faker" traffic "${hosts[@]}" --service 127.0.0.1:17201 --service 127.0.0.1:17202 \
  --key demo-key --rate 40 --length 16s || status=$?
exit "$status"
