#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
includes=(-Iplatform/standin/include -Iplatform/standin/src -Ireview/standin-2)
for library in base memory net; do
    includes+=("-Ilibs/$library/include" "-Ilibs/$library/src")
done
sources=(libs/base/src/*.cpp libs/memory/src/*.cpp libs/net/src/*.cpp platform/standin/src/*.cpp review/standin-2/*.cpp)
compile() {
    local object
    object="$out/$(echo "$1" | tr / _).o"
    if [ ! -e "$object" ] || [ -n "$(find libs/base libs/memory libs/net platform/standin review/standin-2 -newer "$object" -print -quit)" ]; then
        g++ -std=c++20 -O1 "${includes[@]}" -c "$1" -o "$object"
    fi
}
for source in "${sources[@]}"; do
    while [ "$(jobs -rp | wc -l)" -ge 4 ]; do wait -n; done
    compile "$source" &
done
while [ "$(jobs -p | wc -l)" -gt 0 ]; do wait -n; done
g++ "$out"/*.o -o "$out/cases" -lcrypto -lxxhash -lpthread
