#!/usr/bin/env bash
# The fault matrix: decisions (ginkgo specs with cell labels) and processes
# (scenarios). Usage: matrix.sh DIR-OF-BINARIES
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
status=0
reports=()
for suite in $(git ls-files -co --exclude-standard '*_suite_test.go' | sort); do
  package=$(dirname "$suite")
  report=$out/$(echo "$package" | tr / _).json
  go test -count=1 "./$package" -ginkgo.json-report="$report" >"$out/log" 2>&1 || { status=1; tail -n 60 "$out/log"; }
  [ -s "$report" ] && reports+=("$report")
done
go test -count=1 -v ./scripter >"$out/scenarios.log" 2>&1 || { status=1; grep -vE '^=== |^ *--- PASS' "$out/scenarios.log" | tail -n 150; }
"$1/matrix" scenarios "$out/scenarios.log" "${reports[@]}" || status=1
exit "$status"
