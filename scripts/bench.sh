#!/usr/bin/env bash
# Runs every benchmark of a build: scripts/bench.sh BUILD. Each line of output
# is one figure or the verdict on one target.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
for Program in "$Build"/*_bench; do
  "$Program"
done
