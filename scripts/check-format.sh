#!/usr/bin/env bash
# Fails when a source file differs from what clang-format would write. With --fix, rewrites the files.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -z --cached --others --exclude-standard -- '*.h' '*.cpp' | xargs -0 -r clang-format-14 "${mode[@]}"
