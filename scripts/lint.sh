#!/usr/bin/env bash
# Runs clang-tidy on every source file of the build; further arguments limit
# the run to those files.
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
shift || true
if [ $# -gt 0 ]; then
  Files=("$@")
else
  mapfile -t Files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
if ! printf '%s\n' "${Files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$Build" --quiet \
    > "$Build/lint.log" 2>&1; then
  grep -v -E 'warnings generated|Suppressed|Use -header-filter' "$Build/lint.log"
  exit 1
fi
