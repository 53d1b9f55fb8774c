#!/usr/bin/env bash
# Runs Tana's fleet of eight VMs in four availability zones on loopback addresses: demo.sh BUILD_DIR
#
# Sends two and a half minutes of mixed jobs in about twenty seconds, prints attainment and cost, and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
source scripts/demo-fleet.sh
trap end_all EXIT

speed=8
echo "starting the stand-in for the platform and 44 endpoints, and 8 VMs"
start_standin samples/tana/standin.json
start_fleet 8 127.0.10 coast-ke coast-ke-a coast-ke-b coast-ke-c coast-ke-d
for index in $(seq 8); do wait_listening "$index"; done
wait_members 8

echo "applying samples/tana/fleet.toml"
ctl --wait apply samples/tana/fleet.toml | tail -2
for index in $(seq 8); do wait_ready "$index"; done
ctl status

echo "sending 600 jobs at $speed times their recorded pace"
live=""
for index in $(seq 8); do live+="${live:+,}${fleet_addresses[$index]}:8080"; done
"$build/tools/load/lacewing-load" --live="$live" --trace=samples/tana/trace.jsonl --speed="$speed" \
    --configuration=samples/tana/fleet.toml --csv="$work/jobs.csv" --svg="$work/jobs.svg"

sleep 11 # charges are written every 10 s
echo "charges from the log"
ctl report

echo "stopping all VMs gracefully"
if stop_fleet; then echo "no job was cut"; else echo "a job was cut"; exit 1; fi
