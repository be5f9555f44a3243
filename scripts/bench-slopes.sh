#!/usr/bin/env bash
# Measures the resources that a host uses for control, as a function of the number of
# hosts, organisations, workers and requests per second. Real processes on loopback; each
# size is measured twice. Prints the lines fitted to the points.
#
# Usage: bench-slopes.sh BIN [SERIES...]
set -euo pipefail
bin=$1
shift
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/processes.sh"
series=("$@")
[ ${#series[@]} -gt 0 ] || series=(hosts organisations workers requests)
points=$work/points
key=sha256:$(printf demo-key | sha256sum | cut -d' ' -f1)
fleet=()

# end stops the processes of the current size.
end() {
  for p in "${fleet[@]}"; do kill -9 "$p" 2>/dev/null || true; done
  fleet=()
  pids=()
}

# folder ORGANISATIONS WORKERS: writes a configuration of that size.
folder() {
  rm -rf "$work/folder"
  mkdir "$work/folder"
  cat >"$work/folder/classes.jsonc" <<EOT
{"classes": {"quote": {"tier": 0, "whole": "2s"}, "hold": {"tier": 0, "whole": "4s"},
  "chat": {"tier": 1, "first": "1.7s", "whole": "20s"}, "plan": {"tier": 2, "whole": "60s"}}}
EOT
  {
    echo '{"organisations": {'
    for i in $(seq "$1"); do
      k=$key
      [ "$i" -gt 1 ] && k=sha256:$(printf '%064d' "$i")
      printf '"org-%d": {"keys": ["%s"], "requests": 1000, "tokens": 100000, "classes": ["quote", "hold", "chat", "plan"]},\n' "$i" "$k"
    done
    echo '}}'
  } >"$work/folder/organisations.jsonc"
  {
    echo '{"services": {"cicada-lm": {"kind": "engine", "owner": "ops", "models": ["cicada-lm"], "routes": [{"class": "chat"}], "cell": 6, "workers": ['
    for i in $(seq "$2"); do
      printf '{"name": "lm-%d", "address": "127.0.0.1:%d", "zone": "zone-a", "slots": 8},\n' "$i" $((20000 + i))
    done
    echo ']}, "booking-app": {"kind": "plain", "owner": "ops",
      "routes": [{"path": "/quotes", "class": "quote"}, {"method": "POST", "path": "/holds", "class": "hold", "once": true}],
      "workers": [{"name": "book-1", "address": "127.0.0.1:19901", "zone": "zone-a", "slots": 64}]}}}'
  } >"$work/folder/services.jsonc"
}

# start HOSTS ORGANISATIONS WORKERS: starts the processes of one size; sets hosts to the
# arguments that name them to `faker sample`, and entries to those for `faker traffic`.
start() {
  folder "$2" "$3"
  export CICADAWOOD_PLATFORM=http://127.0.0.1:19900
  run platform "$bin/faker" platform 127.0.0.1:19900
  fleet+=("$last")
  run engines "$bin/faker" engine lm 127.0.0.1:20001 --count "$3" --step 2ms --sequence 0s --prefill 0s
  fleet+=("$last")
  run service "$bin/faker" service book-1 127.0.0.1:19901 --took 2ms
  fleet+=("$last")
  ready "$CICADAWOOD_PLATFORM/calls"
  "$bin/cicadawood" push "$work/folder" >/dev/null
  hosts=(--platform 127.0.0.1:19900)
  entries=()
  for i in $(seq "$1"); do
    host "host-$i" 127.0.0.1 $((1000 + i)) '"settle": "1s"' "zone-$((i % 7))" "region-$((i % 3))"
    run "host-$i" "$bin/cicadawood" serve "$work/host-$i.jsonc" --level error
    fleet+=("$last")
    hosts+=(--process "$last" --admin "127.0.0.1:$((1000 + i))3")
    entries+=(--host "127.0.0.1:$((1000 + i))1")
  done
  for i in $(seq "$1"); do ready "http://127.0.0.1:$((1000 + i))1/readyz"; done
  sleep 3 # leaves out the work of starting: taking roles, sealing partitions
}

# measure SERIES SIZE: takes two samples.
measure() {
  for _ in 1 2; do "$bin/faker" sample "${hosts[@]}" --series "$1" --size "$2" --length 6s >>"$points"; done
}

for name in "${series[@]}"; do
  case $name in
    hosts) for n in 2 4 8 16 32; do start "$n" 10 12; measure hosts "$n"; end; done ;;
    organisations) for n in 10 100 1000; do start 4 "$n" 12; measure organisations "$n"; end; done ;;
    workers) for n in 10 100 830; do start 4 10 "$n"; measure workers "$n"; end; done ;;
    requests)
      for n in 10 50 100 200; do
        start 4 10 12
        "$bin/faker" traffic "${entries[@]}" --key demo-key --rate "$n" --length 16s >"$work/traffic.log" 2>&1 &
        traffic=$!
        sleep 1
        measure "requests a second, 4 hosts" "$n"
        wait "$traffic" || { cat "$work/traffic.log" >&2; exit 1; }
        end
      done ;;
    *) echo "unknown series $name" >&2; exit 2 ;;
  esac
done
"$bin/faker" slopes <"$points"
