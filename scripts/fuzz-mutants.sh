#!/usr/bin/env bash
# Checks that fuzz_jobs detects faults: builds it with each mutant of
# fuzz/mutants.tsv and reports whether it finds a violation in time. Fails if a
# mutant is not found, or if its text is not in the source exactly once.
# Usage: fuzz-mutants.sh BUILD [NAME...]
set -euo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
shift || true
SecondsPerMutant=300
Jobs=4

run_mutant() {
  local Name=$1 Build=$2 Seconds=$3
  local Folder="$Build/mutants/$Name"
  rm -rf "$Folder"
  mkdir -p "$Folder"

  local Mutant File Old New
  while IFS=$'\t' read -r Mutant File Old New; do
    [ "$Mutant" = "$Name" ] || continue
    local Copy="$Folder/${File//\//_}"
    [ -f "$Copy" ] || cp "$File" "$Copy"
    OLD=$Old NEW=$New perl -0pi -e '
      s/\\n/\n/g for $ENV{OLD}, $ENV{NEW};
      my $Count = () = /\Q$ENV{OLD}\E/g;
      die "expected 1 occurrence, found $Count: $ENV{OLD}\n" if $Count != 1;
      s/\Q$ENV{OLD}\E/$ENV{NEW}/' "$Copy"
  done < fuzz/mutants.tsv

  local Objects=() Source
  for Source in "$Folder"/*.cpp; do
    ccache c++ -std=c++20 -O2 -Iinclude -Isrc -c "$Source" -o "$Source.o"
    Objects+=("$Source.o")
  done
  # The objects come before the library and replace its members.
  c++ "${Objects[@]}" "$Build/CMakeFiles/fuzz_jobs.dir/fuzz/fuzz_jobs.cpp.o" \
    "$Build/libdaisyspool_lib.a" -lrapidcheck -lcrypto -lxxhash -pthread \
    -o "$Folder/fuzz_jobs"

  local Status=0
  "$Folder/fuzz_jobs" 1 "$Seconds" > "$Folder/log" 2>&1 || Status=$?
  local Sequences
  Sequences=$(sed -n 's/.* sequences=\([0-9]*\).*/\1/p' "$Folder/log")
  if [ "$Status" -eq 1 ] && grep -q ': violation ' "$Folder/log"; then
    echo "mutant=$Name found=yes sequences=$Sequences"
  else
    echo "mutant=$Name found=no sequences=${Sequences:-0}"
    return 1
  fi
}
export -f run_mutant

if [ $# -gt 0 ]; then
  Names=("$@")
else
  mapfile -t Names < <(cut -f1 fuzz/mutants.tsv | uniq)
fi
printf '%s\n' "${Names[@]}" |
  xargs -P "$Jobs" -I NAME bash -euo pipefail -c \
    "run_mutant NAME '$Build' $SecondsPerMutant"
