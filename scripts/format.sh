#!/usr/bin/env bash
# Formats every C++ file, or checks the format with --check.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t Files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run -Werror "${Files[@]}"
else
  clang-format -i "${Files[@]}"
fi
