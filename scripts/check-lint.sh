#!/usr/bin/env bash
# Runs clang-tidy over the compile commands of a build directory: check-lint.sh BUILD_DIR [PATH_PATTERN]
#
# A unit whose preprocessed text, linter settings and linter are unchanged since its last clean run is passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
pattern=${2:-.}
cache=${LACEWING_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/lacewing-lint}
mkdir -p "$cache"

lint_one() {
    local unit=$1 key
    local command
    command=$(python3 - "$build/compile_commands.json" "$unit" <<'P'
import json, shlex, sys
for entry in json.load(open(sys.argv[1])):
    if entry["file"] == sys.argv[2]:
        words = [w for w in shlex.split(entry["command"]) if not w.endswith("ccache")]
        skip = words.index("-o")
        print(shlex.join(words[:skip] + words[skip + 2:] + ["-E", "-P"]))
        break
P
)
    key=$( (cat .clang-tidy; eval "$command") | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy-14 --quiet -p "$build" "$unit" 2>/dev/null && touch "$cache/$key"
}
export -f lint_one
export build cache

python3 -c 'import json,sys; print("\n".join(sorted({e["file"] for e in json.load(open(sys.argv[1]))})))' \
    "$build/compile_commands.json" | grep -E "$pattern" \
    | xargs -r -P "$(nproc)" -I{} bash -c 'lint_one "$1" || { echo "lint: $1"; exit 1; }' _ {}
