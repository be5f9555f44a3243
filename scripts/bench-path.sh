#!/usr/bin/env bash
# Measures what a host adds to a call: the same calls directly to a fake engine and
# through one host, alternating in one run; then the memory of open streams (9,000: at two
# descriptors each they stay under this machine's limit of 20,000).
#
# Usage: bench-path.sh BIN
set -euo pipefail
bin=$1
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/processes.sh"
ulimit -n "$(ulimit -Hn)"
export CICADAWOOD_PLATFORM=http://127.0.0.1:27000
run platform "$bin/faker" platform 127.0.0.1:27000
run fast "$bin/faker" engine fast 127.0.0.1:27101 --step 50us --sequence 0s --prefill 0s --slots 64
run many "$bin/faker" engine many 127.0.0.1:27102 --step 2s --sequence 0s --prefill 0s --slots 20000
host host-1 127.0.0.1 2801 '"calls": 20000, "silence": "30s"'
ready "$CICADAWOOD_PLATFORM/calls"
run host-1 "$bin/cicadawood" serve "$work/host-1.jsonc" --level warn
pid=$last
mkdir "$work/folder"
for engine in fast:27101:64 many:27102:20000; do
  IFS=: read -r name port slots <<<"$engine"
  cat >"$work/folder/services.jsonc" <<EOT
{"classes": {"chat": {"tier": 1, "whole": "60s"}},
 "organisations": {"dock": {"keys": ["sha256:$(printf demo-key | sha256sum | cut -d' ' -f1)"], "classes": ["chat"]}},
 "services": {"$name": {"kind": "engine", "owner": "ops", "models": ["cicada-lm"], "routes": [{"class": "chat"}],
   "workers": [{"name": "$name", "address": "127.0.0.1:$port", "zone": "a", "slots": $slots}]}}}
EOT
  generation=$("$bin/cicadawood" push "$work/folder" | grep -oE '[0-9]+' | head -n 1)
  until "$bin/cicadawood" dump 127.0.0.1:28013 | grep -q "\"generation\": $generation,"; do sleep 0.1; done
  if [ "$name" = fast ]; then
    "$bin/faker" path --host 127.0.0.1:28011 --engine 127.0.0.1:27101 --key demo-key --process "$pid" "${@:2}"
  else
    "$bin/faker" path --host 127.0.0.1:28011 --engine 127.0.0.1:27102 --key demo-key --process "$pid" --rounds 0 --streams 9000
  fi
done
