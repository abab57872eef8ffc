#!/usr/bin/env bash
# Installs the build dependencies from the Debian registry and builds into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(libboost1.81-dev libboost-log1.81-dev libboost-program-options1.81-dev
    libboost-json1.81-dev libboost-thread1.81-dev libboost-url1.81-dev libnng-dev libprotobuf-dev
    protobuf-compiler libxxhash-dev libssl-dev libgtest-dev libbenchmark-dev ccache ninja-build
    cmake curl g++ clang-format clang-tidy)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    sudo=()
    [ "$(id -u)" = 0 ] || sudo=(sudo)
    "${sudo[@]}" apt-get update -qq
    DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
fi

cmake -S . -B build -G Ninja >/dev/null
cmake --build build
