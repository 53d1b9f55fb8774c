# Functions that start and stop a demonstration fleet on loopback addresses; sourced by demo.sh and drill.sh.
#
# Needs: build (build directory), work (directory for settings, keys and logs).

fleet_addresses=() fleet_pids=() standin_pid=""

# start_standin FILE: starts the stand-in for the platform and all endpoints.
start_standin() {
    "$build/tools/standin/lacewing-standin" --settings "$1" >"$work/standin.log" 2>&1 &
    standin_pid=$!
    for _ in $(seq 100); do
        [ -s "$work/standin.log" ] && break
        sleep 0.05
    done
    platform=$(head -1 "$work/standin.log")
}

# write_settings NAME ZONE REGION IP: writes the settings of one VM.
write_settings() {
    sed -e "s#@NAME@#$1#g;s#@ZONE@#$2#;s#@REGION@#$3#;s#@IP@#$4#;s#@PLATFORM@#$platform#;s#@KEYS@#$work/keys#" \
        samples/vm.toml >"$work/$1.toml"
}

# start_vm INDEX: starts the daemon of vm-INDEX; its address is fleet_addresses[INDEX].
start_vm() {
    "$build/tools/lacewingfalld/lacewingfalld" --settings="$work/vm-$1.toml" >>"$work/vm-$1.log" 2>&1 &
    fleet_pids[$1]=$!
}

# start_fleet COUNT NETWORK REGION ZONE...: starts COUNT daemons, spread over the zones.
start_fleet() {
    local count=$1 network=$2 region=$3
    shift 3
    local zones=("$@") names=() index
    for index in $(seq "$count"); do names+=("vm-$index"); done
    scripts/make-keys.sh "$work/keys" "${names[@]}"
    for index in $(seq "$count"); do
        fleet_addresses[$index]="$network.$index"
        write_settings "vm-$index" "${zones[$(((index - 1) % ${#zones[@]}))]}" "$region" "$network.$index"
        start_vm "$index"
    done
}

ctl() {
    "$build/tools/lacewingctl/lacewingctl" --address="${fleet_addresses[1]}:8081" --token=demo-operators-token \
        --by=demo "$@"
}

# wait_ready INDEX: waits until the balancer's check of a VM succeeds.
wait_ready() {
    for _ in $(seq 200); do
        curl -sf -o /dev/null -m 1 "http://${fleet_addresses[$1]}:8080/readyz" && return 0
        sleep 0.1
    done
    echo "vm-$1 did not become ready" >&2
    return 1
}

# wait_listening INDEX: waits until a VM answers at all.
wait_listening() {
    for _ in $(seq 200); do
        curl -s -o /dev/null -m 1 "http://${fleet_addresses[$1]}:8080/healthz" && return 0
        sleep 0.1
    done
    echo "vm-$1 does not answer" >&2
    return 1
}

# wait_members COUNT: waits until vm-1 knows COUNT live VMs.
wait_members() {
    for _ in $(seq 200); do
        [ "$(ctl status | grep -c ' alive ')" -ge "$1" ] && return 0
        sleep 0.1
    done
    echo "vm-1 does not know $1 VMs" >&2
    return 1
}

# stop_fleet: stops every daemon gracefully. Returns 1 when one of them cut a job.
stop_fleet() {
    local index status=0
    for index in "${!fleet_pids[@]}"; do kill -TERM "${fleet_pids[$index]}" 2>/dev/null || true; done
    for index in "${!fleet_pids[@]}"; do wait "${fleet_pids[$index]}" || status=1; done
    fleet_pids=()
    return "$status"
}

# end_all: ends whatever this script started; for a trap.
end_all() {
    local pid
    for pid in "${fleet_pids[@]}" $standin_pid; do kill -KILL "$pid" 2>/dev/null || true; done
}
