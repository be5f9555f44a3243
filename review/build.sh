#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The system itself is built by the command of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/testdata/standin
