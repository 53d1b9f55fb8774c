#!/usr/bin/env bash
# A VM keeps a runner that is gone, once the VMs that read the store for it have been killed and are back.
# Seven VMs as on the sheet of the Tana River Cabin Utilities Board. The three that read the store are killed at the same
# moment and started again; meanwhile a runner leaves. TROUBLE=0: the runner leaves, and nothing is killed.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=review/12
source review/standin-3/common.sh

start_platform events=40 event-gap-ms=50 # streams of two seconds
for vm in 0 1 2 3 4 5 6; do start_vm "$vm"; done
for vm in 0 1 2 3 4 5 6; do wait_ready "$vm"; done
sleep 4
# Each VM logs when it begins or ends to read the store.
readers=() other=""
for vm in 0 1 2 3 4 5 6; do
    if grep '"store reading changed"' "$work/vm-$vm.log" | tail -1 | grep -q '"active":true'; then
        readers+=("$vm")
    else
        other=$vm
    fi
done
say "vms that read the store: ${readers[*]}; the callers are at vm $other, to which nothing happens"
[ ${#readers[@]} = 3 ] && [ -n "$other" ] || cannot_run "not three readers"

callers "$other" callers per-second=20 seconds=14 method=POST target=/bill-query/2f tokens=1800,40 deadline-ms=6000 \
    at-once=200
callers=$last_callers
sleep 3
if [ "${TROUBLE:-1}" != 0 ]; then
    for vm in "${readers[@]}"; do kill -KILL "${vm_pids[$vm]}"; done
    say "the readers are killed"
    sleep 0.2
fi
echo i-huvo11a-0 >"$work/leave"
sleep 0.2
if [ "${TROUBLE:-1}" != 0 ]; then
    for vm in "${readers[@]}"; do start_vm "$vm"; done
    say "the readers are started again"
fi
wait "$callers"
read -r sent served <"$work/callers.result" || cannot_run "the callers have ended"
say "streams: $sent sent, $((sent - served)) not answered in full"
late=0
[ -s "$work/late" ] && late=$(grep -c " callers-" "$work/late")
say "requests that reached the runner later than 2 s after the store had accepted that it is gone: $late"
if [ "$late" -gt 0 ]; then
    say "the first: $(head -1 "$work/late"), the last: $(tail -1 "$work/late") (connection, request, ms after that)"
    say "broken"
    exit 1
fi
say "held"
exit 0
