#!/usr/bin/env bash
# Runs the fault soak for the seeds FIRST to LAST, JOBS at a time:
# soak.sh BUILD FIRST LAST [JOBS], or soak.sh BUILD cases for the seeds in
# soak/cases.txt, which failed once. Each run starts its own processes and ends
# only those. The last line is "soak: N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
Build=${1:-build}
Jobs=${4:-3}
Folder=$(mktemp -d)
if [ "${2:-}" = cases ]; then
  Seeds=$(sed 's/#.*//' soak/cases.txt | tr -d ' ')
else
  Seeds=$(seq "${2:-1}" "${3:-50}")
fi
printf '%s\n' $Seeds | xargs -P "$Jobs" -I{} sh -c \
  '"$1/fleet_soak" --program "$1/daisyspool" --folder "$2" --seed {} > "$2/{}.out" 2>&1; echo $? > "$2/{}.rc"' \
  soak "$Build" "$Folder"
Failed=0
Passed=0
for Seed in $Seeds; do
  cat "$Folder/$Seed.out"
  if [ "$(cat "$Folder/$Seed.rc")" = 0 ]; then
    Passed=$((Passed + 1))
    rm -rf "${Folder:?}/$Seed"
  else
    Failed=$((Failed + 1))
    echo "logs of seed $Seed: $Folder/$Seed"
  fi
done
echo "soak: $Passed passed, $Failed failed"
[ "$Failed" -eq 0 ]
