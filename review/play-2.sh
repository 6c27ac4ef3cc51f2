#!/usr/bin/env bash
# Plays the case $1 into the folder $2: exit status 1 if a rule was broken, 0 if
# all held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
Folder=$(mktemp -d) || exit 2
trap 'rm -rf "$Folder"' EXIT
timeout -k 2 118 target/review-2/fleet_review "$1" "$Folder" "$2/record.txt"
Status=$?
[ "$Status" -le 1 ] || exit 2
exit "$Status"
