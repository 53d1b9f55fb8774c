#!/usr/bin/env bash
# Runs the case whose folder is given; the run.sh of each case calls it. Needs the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.."
program="out/review/case-$(basename "$folder")"
if [[ ! -x $program || ! -x target/tools/gateway/lacewing-gateway ]]; then
    echo "not built: $program or target/tools/gateway/lacewing-gateway" >&2
    exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
# The processes of the system end with the program that has started them.
timeout --signal=KILL 118 "$program" "$directory" "$folder/record.txt" "${TROUBLE:-1}"
result=$?
[[ -n ${KEEP_LOGS:-} ]] && cp "$directory"/*.log "$KEEP_LOGS"
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
