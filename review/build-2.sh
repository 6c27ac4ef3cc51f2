#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases 6 to 10. Needs the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Iinclude -Ireview/fleet-2 \
  review/fleet-2/fleet_review.cpp target/libdaisyspool_lib.a \
  -lcrypto -lpthread -o target/review-2/fleet_review
