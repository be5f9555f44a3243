#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6 into target/review-2/. The scripts also need the build of the
# deploy file (target/cicadawood).
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/testdata/standin2
