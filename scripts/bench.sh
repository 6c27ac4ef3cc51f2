#!/usr/bin/env bash
# Runs every benchmark of a build: scripts/bench.sh BUILD. Each line of output
# is one figure or the verdict on one target. Exits with 1 if a benchmark fails.
set -uo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
Status=0
for Program in "$Build"/*_bench; do
  "$Program" || Status=1
done
bash scripts/path-bench.sh "$Build" || Status=1
exit "$Status"
