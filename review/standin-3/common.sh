# Functions that the scripts of review 3 share; sourced by run.sh of a case, from the repository root.
#
# start_platform, start_vm INDEX, wait_ready INDEX, callers NAME OPTIONS..., memory_mb INDEX, end_all.
# A script sets `case` (its folder); records go to $case/record.txt.

standins=target/review-3/standins-3
gateway=target/tools/gateway/lacewing-gateway # the command of deploy/system.toml
work=$(mktemp -d)
record=$case/record.txt
: >"$record"
network=127.$((10 + RANDOM % 200)).$((1 + RANDOM % 250))
pids=() vm_pids=()

say() {
    echo "$*" >>"$record"
    echo "$*"
}

# Ends all processes that this script has started, by id.
end_all() {
    local pid
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
    say "the case could not run: $*"
    exit 2
}

[ -x "$standins" ] && [ -x "$gateway" ] || cannot_run "not built"

# Starts the store and the runners: start_platform OPTION...
start_platform() {
    "$standins" platform ip="$network.1" address-file="$work/store" record="$record" leave-file="$work/leave" \
        late-file="$work/late" "$@" &
    pids+=($!)
    local try
    for try in $(seq 100); do
        [ -s "$work/store" ] && return 0
        sleep 0.1
    done
    cannot_run "no store"
}

# Starts the gateway of a VM as the deploy file says; it reads the settings that the variable names.
start_vm() {
    local ip=$network.$((10 + $1)) first
    first=$("$standins" ports ip="$ip" count=30) || cannot_run "no free ports"
    vm_address[$1]=$ip:$((first + 20)) vm_ready[$1]=$ip:$((first + 21))
    cat >"$work/vm-$1.toml" <<T
node-name = "front-garsen-$1"
role = "gateway"
machine-class = "front"
serves = ["front"]
ip = "$ip"
zone = "garsen"
region = "coast-ke"
internal-ports = [$first, $((first + 15))]
heartbeat-ms = 1200
[zones]
garsen = "coast-ke"
[listen]
front = "$ip:$((first + 20))"
ready = "$ip:$((first + 21))"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = ${memory_limit_mb:-260}
max-fds = 4100
link-mbps = 1000.0
[bounds]
stable-window-ms = 3000
drain-ms = 2000
grace-s = 8
config-apply-ms = 2000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 54
[platform]
address = "$(cat "$work/store")"
form = "log"
T
    LACEWINGFALL_NODE_FILE=$work/vm-$1.toml "$gateway" >"$work/vm-$1.log" 2>&1 &
    vm_pids[$1]=$!
    pids+=($!)
}

# Status of a VM's readiness check, as the platform asks once a second; 0 without an answer within a second.
readiness() {
    local line=""
    exec 9<>"/dev/tcp/${vm_ready[$1]%:*}/${vm_ready[$1]#*:}" || { echo 0; return; }
    printf 'GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n' >&9
    read -r -t 1 line <&9 || true
    exec 9<&- 9>&-
    line=${line#* }
    echo "${line%% *}" | sed 's/^$/0/'
}

wait_ready() {
    local try
    for try in $(seq 100); do
        [ "$(readiness "$1" 2>/dev/null)" = 200 ] && return 0
        sleep 0.1
    done
    cannot_run "vm $1 is not ready"
}

# Sends requests to a VM in the background: callers VM NAME OPTION...
callers() {
    local vm=$1 name=$2
    shift 2
    "$standins" callers address="${vm_address[$vm]}" name="$name" record="$record" result-file="$work/$name.result" "$@" &
    pids+=($!)
    last_callers=$!
}

# Largest memory that a VM has used so far, and what it uses now, in MB; 0 once it has ended.
peak_mb() {
    awk '/^VmHWM/ { print int($2 / 1024); found = 1 } END { if (!found) print 0 }' "/proc/${vm_pids[$1]}/status" 2>/dev/null || echo 0
}
now_mb() {
    awk '/^VmRSS/ { print int($2 / 1024); found = 1 } END { if (!found) print 0 }' "/proc/${vm_pids[$1]}/status" 2>/dev/null || echo 0
}
# Processor time of a VM so far, in hundredths of a second.
processor_time() {
    awk '{ print $14 + $15 }' "/proc/${vm_pids[$1]}/stat" 2>/dev/null || echo 0
}
