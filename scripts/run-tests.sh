#!/usr/bin/env bash
# Runs every Criterion program below a build directory and ends in a line "N passed, N failed".
#
# Failing tests that KNOWN-RED.txt lists (lines "test: <suite>::<name>") are printed, and don't fail the run.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
known_red=KNOWN-RED.txt
passed=0 failed=0 known=0 broken=0

for program in $(find "$build" -type f -name 'test_*' -perm -u+x | sort); do
    name=$(basename "$program")
    report=$(mktemp)
    "$program" -j4 --quiet --xml="$report" >"$report.log" 2>&1
    status=$?
    counts=$(python3 scripts/summarize-tests.py "$report" "$known_red")
    if [ $? -ne 0 ]; then
        echo "$name: no readable report (exit status $status)"
        tail -20 "$report.log"
        broken=$((broken + 1))
        continue
    fi
    read -r ok bad red <<<"$(head -1 <<<"$counts")"
    tail -n +2 <<<"$counts"
    [ "$bad" -gt 0 ] && tail -40 "$report.log"
    if [ "$ok" -eq 0 ]; then
        echo "$name: ran no test"
        broken=$((broken + 1))
    fi
    echo "$name: $ok passed, $bad failed, $red known red"
    passed=$((passed + ok)) failed=$((failed + bad)) known=$((known + red))
    rm -f "$report" "$report.log"
done

failed=$((failed + broken))
[ "$known" -gt 0 ] && echo "$known known failures are listed in $known_red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
