#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 3 start, into target/review-3; needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 --target standins-3 versions-3
