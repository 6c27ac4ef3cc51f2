#!/usr/bin/env bash
# Runs every capacity_* program of the build. Each prints lines of the form
# slope=NAME unit=U per=P value=V r2=R and bench=NAME variant=V metric=M value=V.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
Found=0
bash scripts/capacity-processes.sh "$Build"
for Program in "$Build"/capacity_*; do
  [ -f "$Program" ] && [ -x "$Program" ] || continue
  Found=1
  "$Program"
done
if [ "$Found" = 0 ]; then
  echo "capacity: no capacity_* program in $Build" >&2
  exit 1
fi
