# A fleet of stand-ins and product processes on loopback addresses, for the demo, the benchmarks and
# the integration tests. Sourced by scripts; needs bash and curl.
#
# Every VM has an address of its own, 127.NET.<data centre>.<number>. The processes listen on it, and
# other VMs reach them through the fault proxy, which listens on the same address with the port
# raised by 10000.

bin=${ORIOLERILL_BIN:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/build/bin}
# Concurrent runs use different networks.
NET=${NET:-$((20 + $$ % 200))}
DCS=(montevideo-a salto-a maldonado-a)
REGIONS=(montevideo litoral este)
ENTRIES_PER_DC=2
ENGINES=15
ORDER_SERVICES=3
VM_RATE=6250000
WAN_RATE=3125000
ORIGIN_RATE=12500000
# Request capacity of an engine and the time of a token.
ENGINE_OPTIONS=(--capacity 8 --cold-capacity 2 --warm-up-requests 2 --token-us 2000
    --prefill-us 2000 --load-ms 50)
SERVICE_OPTIONS=(--capacity 64 --service-us 2000)
ADMIN_TOKEN=bootstrap-token
ACCOUNTS=10
LOG_LEVEL=${LOG_LEVEL:-info}

run_dir=
declare -A pids=()
failures=()

# note_failure TEXT: records and prints a failed check.
note_failure() {
    failures+=("$1")
    echo "FAILED: $1" >&2
}

# ---- processes ----

# start NAME COMMAND...: runs a process in the background and records its id.
start() {
    local name=$1
    shift
    "$@" >>"$run_dir/$name.out" 2>>"$run_dir/$name.log" &
    pids[$name]=$!
}

# stop NAME [SIGNAL]: signals a process and waits for it; the result is its exit status.
stop() {
    local pid=${pids[$1]:-}
    [ -n "$pid" ] || return 0
    unset "pids[$1]"
    kill "-${2:-TERM}" "$pid" 2>/dev/null
    kill -CONT "$pid" 2>/dev/null
    wait "$pid"
}

# stop_gracefully NAME...: SIGTERM to all of them, then checks that each exits with 0 in time.
stop_gracefully() {
    local name pid status
    for name in "$@"; do
        kill -TERM "${pids[$name]}" 2>/dev/null
    done
    for name in "$@"; do
        pid=${pids[$name]:-}
        [ -n "$pid" ] || continue
        wait_until 20 process_has_ended "$pid" || note_failure "$name does not stop on SIGTERM"
        kill -KILL "$pid" 2>/dev/null
        wait "$pid"
        status=$?
        unset "pids[$name]"
        [ "$status" = 0 ] || note_failure "$name exited with status $status"
    done
}

process_has_ended() {
    ! kill -0 "$1" 2>/dev/null || [ "$(cut -d' ' -f3 "/proc/$1/stat" 2>/dev/null)" = Z ]
}

# Ends all processes that are still running, by their recorded ids.
fleet_end() {
    local name
    for name in "${!pids[@]}"; do
        kill -CONT "${pids[$name]}" 2>/dev/null
        kill -TERM "${pids[$name]}" 2>/dev/null
    done
    for name in "${!pids[@]}"; do
        wait_until 5 process_has_ended "${pids[$name]}" || kill -KILL "${pids[$name]}" 2>/dev/null
    done
    wait
    pids=()
}

# fleet_begin NAME: makes the folder of the run and ends all processes when the script exits.
fleet_begin() {
    run_dir=${OUT:-$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)/out}/$1
    rm -rf "$run_dir"
    mkdir -p "$run_dir"
    trap fleet_end EXIT
}

# ---- waiting and reading ----

now_ms() { echo $(($(date +%s%N) / 1000000)); }

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
    local end=$(($(now_ms) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(now_ms)" -lt "$end" ] || return 1
        sleep 0.05
    done
}

accepts_connections() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

# wait_listening ADDRESS...
wait_listening() {
    local address
    for address in "$@"; do
        wait_until 20 accepts_connections "$address" || {
            note_failure "nothing listens on $address"
            return 1
        }
    done
}

# control ADDRESS PATH: a call of a stand-in's controls.
control() { curl -sS -m 10 "http://$1/standin/$2"; }

# counter ADDRESS NAME: a counter of a stand-in, 0 when it does not exist yet.
counter() {
    local value
    value=$(control "$1" counters | sed -n "s/^$2=//p")
    echo "${value:-0}"
}

# value LINE KEY: the value of a key in a line of key=value pairs.
value() { echo "$1" | tr ' ' '\n' | sed -n "s/^$2=//p" | head -1; }

# ratio A B: A/B with three decimals.
ratio() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.3f", b == 0 ? 0 : a / b }'; }

# ---- addresses ----

host() { echo "127.$NET.$1.$2"; }
platform_host() { host 0 1; }
origin_host() { host 0 2; }
caller_host() { host 0 3; }
proxy_control() { echo "$(host 0 4):9000"; }
platform_address() { echo "$(platform_host):8000"; }
origin_address() { echo "$(origin_host):8001"; }
dc_count() { echo ${#DCS[@]}; }
# The data centre (from 1) of entry, engine or order service number i (from 0).
dc_of() { echo $(($1 % ${#DCS[@]} + 1)); }
entry_count() { echo $((ENTRIES_PER_DC * ${#DCS[@]})); }
entry_host() { host "$(dc_of "$1")" $((10 + $1 / ${#DCS[@]})); }
engine_host() { host "$(dc_of "$1")" $((20 + $1 / ${#DCS[@]})); }
order_host() { host "$(dc_of "$1")" $((200 + $1 / ${#DCS[@]})); }
engine_address() { echo "$(engine_host "$1"):8100"; }
order_address() { echo "$(order_host "$1"):8100"; }
admin_address() { echo "$(entry_host "${1:-0}"):8083"; }

# list COUNT FUNCTION [SEPARATOR]: the results for 0 to COUNT-1.
list() {
    local i text=
    for ((i = 0; i < $1; ++i)); do
        text+="${text:+${3:-,}}$($2 "$i")"
    done
    echo "$text"
}
caller_of() { echo "$(entry_host "$1"):18080"; }
all_callers() { list "$(entry_count)" caller_of; }
all_orders() { list "$ORDER_SERVICES" order_address; }

# ---- stand-ins ----

vm_line() { echo "vm $1 $2 $3 $4 $5"; }
listen_lines() {
    local vm=$1 port
    shift
    for port in "$@"; do
        echo "listen $vm:$((port + 10000)) $vm:$port"
    done
}

write_topology() {
    local i d j
    echo "delay 1000"
    for ((i = 0; i < ${#REGIONS[@]}; ++i)); do
        for ((j = i + 1; j < ${#REGIONS[@]}; ++j)); do
            echo "wan ${REGIONS[i]} ${REGIONS[j]} $WAN_RATE 2000"
        done
        echo "wan callers ${REGIONS[i]} 0 3000"
    done
    # The platform and the weight store are in the first region.
    vm_line "$(platform_host)" platform "${REGIONS[0]}" 0 0
    vm_line "$(origin_host)" store "${REGIONS[0]}" "$ORIGIN_RATE" "$ORIGIN_RATE"
    vm_line "$(caller_host)" callers callers 0 0
    listen_lines "$(platform_host)" 8000
    listen_lines "$(origin_host)" 8001
    for ((i = 0; i < $(entry_count); ++i)); do
        d=$(($(dc_of "$i") - 1))
        vm_line "$(entry_host "$i")" "${DCS[d]}" "${REGIONS[d]}" "$VM_RATE" "$VM_RATE"
        listen_lines "$(entry_host "$i")" 8080 8081 8082
    done
    for ((i = 0; i < ENGINES; ++i)); do
        d=$(($(dc_of "$i") - 1))
        vm_line "$(engine_host "$i")" "${DCS[d]}" "${REGIONS[d]}" "$VM_RATE" "$VM_RATE"
        listen_lines "$(engine_host "$i")" 8090 8091
    done
    for ((i = 0; i < ORDER_SERVICES; ++i)); do
        d=$(($(dc_of "$i") - 1))
        vm_line "$(order_host "$i")" "${DCS[d]}" "${REGIONS[d]}" "$VM_RATE" "$VM_RATE"
        listen_lines "$(order_host "$i")" 8090 8091
    done
}

start_engine() {
    start "engine$1" "$bin/standin-engine" --listen "$(engine_address "$1")" "${ENGINE_OPTIONS[@]}"
}

start_order_service() {
    start "orders$1" "$bin/standin-service" --listen "$(order_address "$1")" \
        --name "orders$1" "${SERVICE_OPTIONS[@]}"
}

start_standins() {
    local i
    write_topology >"$run_dir/topology.conf"
    start platform "$bin/standin-platform" --listen "$(platform_address)"
    start origin "$bin/standin-origin" --listen "$(origin_address)"
    start proxy "$bin/standin-faultproxy" --listen "$(proxy_control)" \
        --config "$run_dir/topology.conf"
    for ((i = 0; i < ENGINES; ++i)); do start_engine "$i"; done
    for ((i = 0; i < ORDER_SERVICES; ++i)); do start_order_service "$i"; done
    wait_listening "$(platform_address)" "$(origin_address)" "$(proxy_control)" || return 1
    for ((i = 0; i < ENGINES; ++i)); do wait_listening "$(engine_address "$i")" || return 1; done
    for ((i = 0; i < ORDER_SERVICES; ++i)); do
        wait_listening "$(order_address "$i")" || return 1
    done
    set_vm_list
}

# The platform's list of VMs.
set_vm_list() {
    local i d vms=
    for ((i = 0; i < $(entry_count); ++i)); do
        d=$(($(dc_of "$i") - 1))
        vms+="${vms:+,}{\"id\":\"entry$i\",\"dataCentre\":\"${DCS[d]}\",\"region\":\"${REGIONS[d]}\""
        vms+=",\"role\":\"entry\",\"controlAddress\":\"$(entry_host "$i"):18082\""
        vms+=",\"requestAddress\":\"$(entry_host "$i"):18081\",\"leaving\":false}"
    done
    for ((i = 0; i < ENGINES; ++i)); do
        d=$(($(dc_of "$i") - 1))
        vms+=",{\"id\":\"engine$i\",\"dataCentre\":\"${DCS[d]}\",\"region\":\"${REGIONS[d]}\""
        vms+=",\"role\":\"endpoint\",\"controlAddress\":\"$(engine_host "$i"):18091\""
        vms+=",\"requestAddress\":\"$(engine_host "$i"):18090\",\"leaving\":false}"
    done
    curl -sS -X PUT --data "{\"vms\":[$vms]}" "http://$(platform_address)/standin/vms" >/dev/null
}

# publish VERSION SIZE SEED: publishes weights at the origin and prints the manifest digest.
publish() {
    control "$(origin_address)" \
        "publish?model=velvet&version=$1&size=$2&chunk=${CHUNK:-262144}&seed=$3" \
        | sed -n 's/^manifest=//p'
}

origin_bytes() {
    control "$(origin_address)" counters | sed -n "s/^manifest=$1 bytes=\([0-9]*\).*/\1/p"
}

link_bytes() { control "$(proxy_control)" counters | sed -n "s/^link=$1 bytes=//p"; }

# ---- the product ----

seeds() {
    local i text=
    for ((i = 0; i < $(entry_count); ++i)); do
        text+="${text:+,}$(entry_host "$i"):18082"
    done
    echo "$text"
}

write_entry_settings() {
    local i=$1 vm d
    vm=$(entry_host "$i")
    d=$(($(dc_of "$i") - 1))
    cat <<END
[entry]
id = entry$i
data_centre = ${DCS[d]}
region = ${REGIONS[d]}
workers = ${WORKERS:-2}
[listen]
caller = $vm:8080
peer = $vm:8081
control = $vm:8082
admin = $vm:8083
[advertise]
peer = $vm:18081
control = $vm:18082
[network]
source_host = $vm
[origin]
region = ${REGIONS[0]}
[platform]
address = $(platform_host):18000
[seeds]
entries = $(seeds)
[admin]
token_sha256 = $(printf %s "$ADMIN_TOKEN" | sha256sum | cut -d' ' -f1)
[shutdown]
drain_ms = 15000
[log]
level = $LOG_LEVEL
END
}

# write_agent_settings ID HOST DC-INDEX SERVICE KIND
write_agent_settings() {
    cat <<END
[agent]
id = $1
data_centre = ${DCS[$3]}
region = ${REGIONS[$3]}
service = $4
workers = ${WORKERS:-2}
[listen]
request = $2:8090
control = $2:8091
[advertise]
request = $2:18090
control = $2:18091
[network]
source_host = $2
[endpoint]
address = $2:8100
kind = $5
[origin]
address = $(origin_host):18001
[platform]
address = $(platform_host):18000
[seeds]
entries = $(seeds)
[weights]
memory_bytes = 268435456
[shutdown]
drain_ms = 15000
[log]
level = $LOG_LEVEL
END
}

start_entry() {
    write_entry_settings "$1" >"$run_dir/entry$1.ini"
    start "entry$1" "$bin/oriolerill" serve --settings "$run_dir/entry$1.ini"
}

start_agent() {
    local i=$1
    write_agent_settings "engine$i" "$(engine_host "$i")" $(($(dc_of "$i") - 1)) chat engine \
        >"$run_dir/agent$i.ini"
    start "agent$i" "$bin/oriolerill-agent" --settings "$run_dir/agent$i.ini"
}

start_order_agent() {
    local i=$1
    write_agent_settings "orders$i" "$(order_host "$i")" $(($(dc_of "$i") - 1)) orders plain \
        >"$run_dir/orderagent$i.ini"
    start "orderagent$i" "$bin/oriolerill-agent" --settings "$run_dir/orderagent$i.ini"
}

start_product() {
    local i
    for ((i = 0; i < $(entry_count); ++i)); do start_entry "$i"; done
    for ((i = 0; i < $(entry_count); ++i)); do
        wait_listening "$(entry_host "$i"):8080" || return 1
    done
    for ((i = 0; i < ENGINES; ++i)); do start_agent "$i"; done
    for ((i = 0; i < ORDER_SERVICES; ++i)); do start_order_agent "$i"; done
    for ((i = 0; i < ENGINES; ++i)); do wait_listening "$(engine_host "$i"):8090" || return 1; done
    for ((i = 0; i < ORDER_SERVICES; ++i)); do
        wait_listening "$(order_host "$i"):8090" || return 1
    done
}

# Names of all product processes that are running.
product_names() {
    local name
    for name in "${!pids[@]}"; do
        case $name in entry* | agent* | orderagent*) echo "$name" ;; esac
    done
}

# apply FILE [ENTRY]: applies an operators' document.
apply() {
    wait_listening "$(admin_address "${2:-0}")" || return 1
    ORIOLERILL_TOKEN=$ADMIN_TOKEN "$bin/oriolerill" apply --admin "$(admin_address "${2:-0}")" "$1" \
        >>"$run_dir/apply.out" 2>&1
}

account_token() { echo "token-$1"; }
all_tokens() { list "$ACCOUNTS" account_token; }

# Configuration items, one "<kind> <name> <spec>" a line.
base_items() {
    local i
    echo 'service chat {"kind":"model"}'
    echo 'service orders {"kind":"plain","nonIdempotentCalls":[{"method":"POST","pathPrefix":"/orders"}],"ledgerSlots":8}'
    echo "limit chat {\"maxConcurrency\":${CHAT_LIMIT:-8},\"startConcurrency\":1}"
    echo 'limit orders {"maxConcurrency":32,"startConcurrency":4}'
    for ((i = 0; i < ACCOUNTS; ++i)); do
        echo "account account$i {\"tokenSha256\":\"$(
            account_token "$i" | tr -d '\n' | sha256sum | cut -d' ' -f1
        )\",\"maxConcurrency\":500,\"requestsPerSecond\":20000,\"weight\":1}"
    done
}

# rollout_item VERSION DIGEST
rollout_item() {
    echo "rollout velvet {\"service\":\"chat\",\"model\":\"velvet\",\"modelVersion\":\"$1\",\"manifest\":\"$2\",\"dataCentres\":[],\"maxUnavailablePerDataCentre\":${MAX_UNAVAILABLE:-1}}"
}

# document: turns items on the standard input into an operators' document; the spec "delete" deletes.
document() {
    local kind name spec separator=
    echo '{"items":['
    while read -r kind name spec; do
        echo "$separator{\"kind\":\"$kind\",\"name\":\"$name\","
        if [ "$spec" = delete ]; then echo '"delete":true}'; else echo "\"spec\":$spec}"; fi
        separator=,
    done
    echo ']}'
}

# apply_items NAME: applies the items on the standard input as a document, through an entry. With
# FLEET_APPLY=store they are written to the object API, to distinguish faults of the two ways.
apply_items() {
    if [ "${FLEET_APPLY:-entry}" = store ]; then
        store_items
        return
    fi
    document >"$run_dir/$1.json"
    apply "$run_dir/$1.json" || {
        note_failure "applying $1.json"
        tail -5 "$run_dir/apply.out" >&2
        return 1
    }
}

# store_items: writes the items on the standard input to the object API, without an entry.
store_items() {
    local kind name spec url version condition
    while read -r kind name spec; do
        url="http://$(platform_address)/v1/objects/config/$kind/$name"
        version=$(curl -sS -D - -o /dev/null "$url" | tr -d '\r' | sed -n 's/^X-Version: //p')
        condition="If-None-Match: *"
        [ -z "$version" ] || condition="If-Match: $version"
        if [ "$spec" = delete ]; then
            curl -sS -f -X DELETE -H "$condition" "$url" || return 1
        else
            curl -sS -f -X PUT -H "$condition" --data "$spec" "$url" || return 1
        fi
    done
}

withdraw_dc() { echo "withdrawal $1 {\"reason\":\"maintenance\"}" | apply_items "withdraw-$1"; }
return_dc() { echo "withdrawal $1 delete" | apply_items "return-$1"; }

# engines_ready DIGEST: how many engines have loaded this version.
engines_ready() {
    local i urls=()
    for ((i = 0; i < ENGINES; ++i)); do urls+=("http://$(engine_address "$i")/admin/state"); done
    curl -sS -m 5 "${urls[@]}" 2>/dev/null \
        | grep -o "\"state\":\"ready\",\"manifest\":\"$1\"" | wc -l
}
all_engines_ready() { [ "$(engines_ready "$1")" -ge "$ENGINES" ]; }

# limit_seconds SIZE: the computed lower bound of a push (section 5.1 of docs/design.md).
limit_seconds() {
    awk -v s="$1" -v origin="$ORIGIN_RATE" -v vm="$VM_RATE" -v wan="$WAN_RATE" -v n="$ENGINES" \
        -v regions="${#REGIONS[@]}" 'BEGIN {
            t = s / origin
            if (s / vm > t) t = s / vm
            if (regions > 1 && s / (wan * (regions - 1)) > t) t = s / (wan * (regions - 1))
            u = n * s / (n * vm + origin)
            if (u > t) t = u
            printf "%.3f", t
        }'
}

# dc_work DC-INDEX: generations that the engines of a data centre (from 0) have begun, and orders
# and lookups that its order services have begun.
dc_work() {
    local i total=0
    for ((i = 0; i < ENGINES; ++i)); do
        [ "$(dc_of "$i")" = $(($1 + 1)) ] || continue
        total=$((total + $(counter "$(engine_address "$i")" generations)))
    done
    for ((i = 0; i < ORDER_SERVICES; ++i)); do
        [ "$(dc_of "$i")" = $(($1 + 1)) ] || continue
        total=$((total + $(counter "$(order_address "$i")" orders)))
        total=$((total + $(counter "$(order_address "$i")" lookups)))
    done
    echo "$total"
}

# engine_sum NAME: a counter summed over all engines.
engine_sum() {
    local i total=0
    for ((i = 0; i < ENGINES; ++i)); do
        total=$((total + $(counter "$(engine_address "$i")" "$1")))
    done
    echo "$total"
}

# start_load NAME OPTIONS...: the load generator, through the entries, with all accounts.
start_load() {
    local name=$1
    shift
    start "$name" "$bin/standin-load" --listen "$(caller_host):9${load_port:-100}" \
        --entries "$(all_callers)" --audit "$(all_orders)" --tokens "$(all_tokens)" \
        --source-host "$(caller_host)" "$@"
}
load_address() { echo "$(caller_host):9${load_port:-100}"; }

# finish_load NAME: ends the load and writes its last line to NAME.line in the folder of the run.
finish_load() {
    control "$(load_address)" stop >/dev/null 2>&1
    wait "${pids[$1]}" || note_failure "the load generator found broken answers ($1)"
    unset "pids[$1]"
    tail -1 "$run_dir/$1.out" >"$run_dir/$1.line"
}
