#!/usr/bin/env bash
# Builds, tests and demonstrates lacewingfall. Run without arguments for the list of commands.
set -euo pipefail
cd "$(dirname "$0")"
build_dir=${LACEWING_BUILD_DIR:-out/release}

usage() {
    cat <<'U'
usage: ./build.sh COMMAND
  build      installs what is missing and builds everything
  test       build, then checks format and lint and runs all tests
  demo       build, then runs a small fleet on loopback addresses with mixed jobs
  benchmark  build, then runs every benchmark
  format     rewrites all sources with the formatter
  clean      removes the build directory
U
}

build() {
    scripts/install-packages.sh
    cmake -S . -B "$build_dir" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >"/tmp/lacewing-cmake.$$" || { cat "/tmp/lacewing-cmake.$$"; exit 1; }
    rm -f "/tmp/lacewing-cmake.$$"
    cmake --build "$build_dir"
}

run_tests() {
    build
    scripts/check-format.sh
    echo "format: clean"
    scripts/check-lint.sh "$build_dir"
    echo "lint: clean"
    scripts/run-tests.sh "$build_dir"
}

run_benchmarks() {
    build
    for program in $(find "$build_dir" -type f -name 'bench_*' -perm -u+x | sort); do
        echo "== $(basename "$program")"
        "$program"
    done
}

case "${1:-}" in
build) build ;;
test) run_tests ;;
demo) build && scripts/demo.sh "$build_dir" ;;
benchmark) run_benchmarks ;;
format) scripts/check-format.sh --fix ;;
clean) rm -rf "$build_dir" ;;
*) usage; exit 2 ;;
esac
