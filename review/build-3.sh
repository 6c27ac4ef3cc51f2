#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start. Run it after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/fleet-3 -B target/review-3
cmake --build target/review-3 -j 4
