#!/usr/bin/env bash
# Failure drill over real sockets, on loopback addresses: drill.sh BUILD_DIR
#
# Four VMs in four zones; kill -9 of a VM, a silent endpoint, an outage of the log, a zone cut off from the platform,
# and copies of a top-up throughout. Ends in "drill passed" or says what failed.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
source scripts/demo-fleet.sh
trap end_all EXIT
problems=0

check() { # check WHAT FOUND WANTED
    if [ "$2" = "$3" ]; then echo "ok: $1"; else echo "FAILED: $1: found $2, wanted $3"; problems=$((problems + 1)); fi
}
field() { python3 -c 'import json,sys
try: print(json.load(sys.stdin).get(sys.argv[1], "none"))
except ValueError: print("no-answer")' "$1"; }
top_up() { # top_up VM KEY TIME INPUT
    curl -s -m 10 -XPOST "http://${fleet_addresses[$1]}:8080/v1/jobs" -H "Idempotency-Key: $2" \
        -H "Idempotency-Time: $3" -d "{\"workspace\":\"dock\",\"class\":\"cabin-top-up\",\"input\":\"$4\"}"
}
question() { # question VM INPUT
    curl -s -m 15 -XPOST "http://${fleet_addresses[$1]}:8080/v1/jobs" \
        -d "{\"workspace\":\"dock\",\"class\":\"guest-billing-question\",\"input\":\"$2\",\"max_tokens\":30}"
}
executions() { # executions INPUT
    curl -s "http://$platform/control/executions" | python3 -c 'import json,sys
print(sum(e["count"] for e in json.load(sys.stdin)["executions"] if e["input"] == sys.argv[1]))' "$1"
}
fault() { curl -sf -o /dev/null -XPOST "http://$platform/control/fault" -d "$1"; }
now_ms() { date +%s%3N; }

start_standin samples/tana/standin.json
start_fleet 4 127.0.12 coast-ke coast-ke-a coast-ke-b coast-ke-c coast-ke-d
for index in $(seq 4); do wait_listening "$index"; done
wait_members 4
ctl --wait apply samples/tana/fleet.toml | tail -1
for index in $(seq 4); do wait_ready "$index"; done

echo "== copies of one top-up at all VMs at once"
time_1=$(now_ms)
for index in $(seq 4); do top_up "$index" drill-1 "$time_1" "pay one" >"$work/copy-$index.json" & copies[$index]=$!; done
for index in $(seq 4); do wait "${copies[$index]}"; done
for index in $(seq 4); do check "copy at vm-$index" "$(field state <"$work/copy-$index.json")" completed; done
check "runs of the top-up" "$(executions 'pay one')" 1

echo "== kill -9 of the VM that runs a top-up"
fault '{"target":"account-service","fault":"slow","value":200,"for_ms":6000}'
time_2=$(now_ms)
top_up 2 drill-2 "$time_2" "pay two" >"$work/killed.json" & copy=$!
sleep 0.8
kill -KILL "${fleet_pids[2]}"
wait "$copy" || true
sleep 1
check "copy after the death is told" "$(top_up 3 drill-2 "$time_2" 'pay two' | field ran)" unknown
check "runs of the top-up" "$(executions 'pay two')" 1
start_vm 2
wait_ready 2
check "question at the VM that came back" "$(question 2 back | field state)" completed

echo "== a runner goes silent"
fault '{"target":"model-runners-0","fault":"silent","for_ms":6000}'
for number in 1 2 3 4 5 6; do question 1 "silent $number" >"$work/silent-$number.json" & silent[$number]=$!; done
for number in 1 2 3 4 5 6; do wait "${silent[$number]}"; done
late=0
for number in 1 2 3 4 5 6; do [ "$(field state <"$work/silent-$number.json")" = completed ] || late=$((late + 1)); done
check "questions not answered in time while a runner is silent" "$late" 0

echo "== outage of the log"
fault '{"target":"log","fault":"outage","for_ms":60000}'
sleep 1
check "question" "$(question 1 outage | field state)" completed
check "top-up is told" "$(top_up 1 drill-3 "$(now_ms)" 'pay three' | field ran)" unknown
check "runs of the top-up" "$(executions 'pay three')" 0
ticket=$(curl -s -XPOST "http://${fleet_addresses[1]}:8080/v1/tickets" -d '{"workspace":"dock"}' | field ticket)
for index in 1 3; do
    answer=$(curl -s -m 10 -XPOST "http://${fleet_addresses[$index]}:8080/v1/jobs" -H "X-Ticket: $ticket" \
        -d '{"workspace":"dock","class":"cabin-top-up","input":"pay by ticket"}' | field state)
    check "ticketed top-up through vm-$index" "$answer" completed
done
check "runs of the ticketed top-up" "$(executions 'pay by ticket')" 1
curl -s -o /dev/null -XDELETE "http://$platform/control/fault"
sleep 2
check "top-up after the outage" "$(top_up 1 drill-4 "$(now_ms)" 'pay four' | field state)" completed

echo "== a zone cut off from the platform"
fault '{"target":"zone:coast-ke-a","fault":"partition","value":"platform","for_ms":60000}'
sleep 3
check "question in the zone" "$(question 1 cut | field state)" completed
check "top-up in the zone" "$(top_up 1 drill-5 "$(now_ms)" 'pay five' | field state)" completed
check "runs of the top-up" "$(executions 'pay five')" 1
curl -s -o /dev/null -XDELETE "http://$platform/control/fault"

echo "== graceful stop under a running stream"
curl -s -N -m 20 -XPOST "http://${fleet_addresses[3]}:8080/v1/jobs" \
    -d '{"workspace":"field-crews","class":"crew-chat","input":"valve","max_tokens":400,"stream":true}' \
    >"$work/chat.txt" & chat=$!
sleep 0.5
ctl drain vm-3 >/dev/null
wait "$chat"
check "the stream ended whole" "$(grep -c '^event: end' "$work/chat.txt")" 1
status=0
wait "${fleet_pids[3]}" || status=$?
check "exit code of the drained VM" "$status" 0
unset 'fleet_pids[3]'

stop_fleet || problems=$((problems + 1))
[ "$problems" -eq 0 ] && echo "drill passed" || { echo "$problems checks failed"; exit 1; }
