#!/usr/bin/env bash
# Installs from Debian every package that the build, the tests, the formatter and the linter need.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config git openssl python3
    libtbb-dev libboost-dev libboost-system-dev libnghttp2-dev libssl-dev
    prometheus-cpp-dev libgflags-dev liblog4cxx-dev libcriterion-dev
    libtomlplusplus-dev libmsgpack-cxx-dev nlohmann-json3-dev libxxhash-dev
    clang clang-format clang-tidy libclang-rt-14-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
