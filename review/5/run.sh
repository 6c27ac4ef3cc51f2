#!/usr/bin/env bash
# Plays the case with processes on loopback; see claim.txt. Needs the build of
# the deploy file and review/build.sh. Exits with 1 if the rule was broken, 0 if
# it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/daisyspool ] && [ -x review/bin/gang_pending ] || exit 2
REVIEW_RECORD=review/5/record.txt review/bin/gang_pending &
Program=$!
trap 'kill "$Program"' TERM INT
wait "$Program"
Code=$?
[ "$Code" -le 1 ] && exit "$Code"
exit 2
