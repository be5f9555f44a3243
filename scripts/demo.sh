#!/usr/bin/env bash
# Runs the whole request path as separate processes on loopback: a fake platform, fake
# engines and plain services, and four hosts in two availability zones. One host is killed
# after 8 s, half way through the traffic.
#
# Usage: demo.sh DIR-OF-BINARIES
set -euo pipefail
bin=$1
root=$(cd "$(dirname "$0")/.." && pwd)
source "$root/scripts/processes.sh"

export CICADAWOOD_PLATFORM=http://127.0.0.1:17000
run platform "$bin/faker" platform 127.0.0.1:17000
for i in 1 2 3; do run "engine$i" "$bin/faker" engine "lm-$i" "127.0.0.1:1710$i"; done
for i in 1 2; do run "service$i" "$bin/faker" service "book-$i" "127.0.0.1:1720$i"; done
hosts=()
for i in 1 2 3 4; do
  zone=gdansk-a
  [ "$i" -gt 2 ] && zone=gdynia
  host "host-$i" 127.0.0.1 "180$i" '"settle": "1s"' "$zone" pomorze
  hosts+=(--host "127.0.0.1:180${i}1")
done
ready "$CICADAWOOD_PLATFORM/calls"
for i in 1 2 3 4; do run "host-$i" "$bin/cicadawood" serve "$work/host-$i.jsonc"; done
victim=$last
"$bin/cicadawood" check "$root/examples/demo"
"$bin/cicadawood" push "$root/examples/demo"
for i in 1 2 3 4; do ready "http://127.0.0.1:180${i}1/readyz"; done
"$bin/cicadawood" status
(sleep 8 && kill -9 "$victim") &
status=0
"$bin/faker" traffic "${hosts[@]}" --service 127.0.0.1:17201 --service 127.0.0.1:17202 \
  --key demo-key --rate 40 --length 16s || status=$?
exit "$status"
