#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin/. Run after the
# build of the deploy file, whose library it links.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for Source in review/fleet/*.cpp; do
  Name=$(basename "$Source" .cpp)
  g++ -std=c++20 -O0 -Iinclude "$Source" target/libdaisyspool_lib.a \
    -lcrypto -lpthread -o "review/bin/$Name" &
done
wait
for Source in review/fleet/*.cpp; do
  test -x "review/bin/$(basename "$Source" .cpp)"
done
