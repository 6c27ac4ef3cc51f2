#!/usr/bin/env bash
# Runs every fuzz programme of the build for the given time, each called as
# `PROGRAM SEED SECONDS`. Without a seed it chooses one and prints it.
# Usage: fuzz.sh BUILD [SEED] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
Seed=${2:-}
Seconds=${3:-60}
[ -n "$Seed" ] || Seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
echo "seed=$Seed seconds=$Seconds"
for Source in fuzz/*.cpp; do
  "$Build/$(basename "$Source" .cpp)" "$Seed" "$Seconds"
done
