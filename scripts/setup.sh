#!/usr/bin/env bash
# Installs the build tools and libraries that are missing. Does nothing, and
# needs no network, on a machine that has them all.
set -euo pipefail
Packages=(g++ cmake ninja-build ccache make clang-format clang-tidy
  libcaf-dev libnng-dev prometheus-cpp-dev libabsl-dev libboost-dev
  libboost-log-dev libboost-thread-dev catch2 libtrompeloeil-cpp-dev
  librapidcheck-dev libinih-dev libmsgpack-cxx-dev nlohmann-json3-dev
  libxxhash-dev libssl-dev)
Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f '${Status}' "$Package" 2>/dev/null |
    grep -q 'install ok installed' || Missing+=("$Package")
done
[ ${#Missing[@]} -eq 0 ] && exit 0
apt-get update -q >/dev/null 2>&1
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${Missing[@]}" >/dev/null 2>&1
