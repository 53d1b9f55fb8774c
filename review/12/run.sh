#!/usr/bin/env bash
# A VM keeps a runner that is gone, once the VMs that read the store for it have been killed and are back.
# Seven VMs as on the sheet of the Tana River Cabin Utilities Board. The three that read the store are killed at the same
# moment and started again; meanwhile a runner leaves. This is done three times. TROUBLE=0: nothing is killed.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=review/12
source review/standin-3/common.sh

start_platform events=40 event-gap-ms=50 # streams of two seconds
for vm in 0 1 2 3 4 5 6; do start_vm "$vm"; done
for vm in 0 1 2 3 4 5 6; do wait_ready "$vm"; done
sleep 4
# Prints the VMs that read the store; each logs when it begins or ends to.
readers() {
    local vm
    for vm in 0 1 2 3 4 5 6; do
        grep '"store reading changed"' "$work/vm-$vm.log" | tail -1 | grep -q '"active":true' && echo "$vm"
    done
}
read -r -d '' -a killed < <(readers)
say "vms that read the store, and are killed: ${killed[*]}"
[ ${#killed[@]} = 3 ] || cannot_run "not three readers"

# The callers are at the other four, to which nothing happens.
callers_pids=()
for vm in 0 1 2 3 4 5 6; do
    [[ " ${killed[*]} " = *" $vm "* ]] && continue
    callers "$vm" "callers-$vm" per-second=6 seconds=42 method=POST target=/bill-query/2f tokens=1800,40 deadline-ms=6000 \
        at-once=200
    callers_pids+=("$last_callers")
done
sleep 3
for round in 0 1 2; do
    if [ "${TROUBLE:-1}" != 0 ]; then
        for vm in "${killed[@]}"; do kill -KILL "${vm_pids[$vm]}"; done
        say "the vms that read the store are killed"
        sleep 0.2
    fi
    echo "i-huvo11a-$round" >>"$work/leave"
    sleep 0.2
    if [ "${TROUBLE:-1}" != 0 ]; then
        for vm in "${killed[@]}"; do start_vm "$vm"; done
        say "they are started again"
    fi
    sleep 12
done
wait "${callers_pids[@]}"
total=0 lost=0
for result in "$work"/callers-*.result; do
    read -r sent served <"$result" || cannot_run "callers have ended"
    total=$((total + sent)) lost=$((lost + sent - served))
done
say "streams at the four vms: $total sent, $lost not answered in full"
late=0
[ -s "$work/late" ] && late=$(grep -c " callers-" "$work/late")
say "of these, streams that reached a runner later than 2 s after the store had accepted that it is gone: $late"
if [ "$late" -gt 0 ]; then
    say "the first: $(head -1 "$work/late"), the last: $(tail -1 "$work/late") (connection, request, ms after that)"
    say "broken"
    exit 1
fi
say "held"
exit 0
