#!/usr/bin/env bash
# Builds the stand-ins of all cases into out/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standin/standin.cpp -o out/review/standin.o
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" out/review/standin.o -o "out/review/case-$number" &
    builds+=($!)
done
for build in "${builds[@]}"; do
    wait "$build"
done
