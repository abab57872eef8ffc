#!/usr/bin/env bash
# Benchmarks with real processes on loopback addresses. The last line is key=value.
#
#   scripts/bench.sh burst     push time, copies and request latency, against two baselines
#   scripts/bench.sh withdraw  service level while a data centre leaves and returns, against round
#                              robin without slow start
#   scripts/bench.sh requests  latency that an entry adds, and requests a second per core
#   scripts/bench.sh push      the push of agents on the operators' platform, scaled from its sheets
#   scripts/bench.sh bounds    simulated ways to split one bound among entries; deterministic
#   scripts/bench.sh core      the *_bench programs
#
# Options: --endpoints N, --dcs N, --seed N, --fault none|origin|corrupt|cut|platform|silence.
# Logs are in out/bench-<name>/.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

name=${1:-burst}
[ $# -gt 0 ] && shift
dcs=3
seed=1
fault=none
while [ $# -gt 0 ]; do
    case $1 in
        --endpoints) ENGINES=$2 ;;
        --dcs) dcs=$2 ;;
        --seed) seed=$2 ;;
        --fault) fault=$2 ;;
        *)
            echo "bench: unknown option $1; see the head of scripts/bench.sh" >&2
            exit 2
            ;;
    esac
    shift 2
done

all_dcs=(montevideo-a salto-a maldonado-a montevideo-b salto-b)
all_regions=(montevideo litoral este norte sur)
DCS=("${all_dcs[@]:0:dcs}")
REGIONS=("${all_regions[@]:0:dcs}")
SIZE=${SIZE:-12582912}
if [ "$ENGINES" -gt 30 ]; then
    # All links share one proxy process, so runs with many endpoints use slower links and smaller
    # weights.
    SIZE=4194304
    VM_RATE=900000
    ORDER_SERVICES=3
fi
export MAX_UNAVAILABLE=$(((ENGINES / dcs + 2) / 3))

finish() {
    echo "$1 seed=$seed fault=$fault failures=${#failures[@]}"
    [ "${#failures[@]}" = 0 ]
    exit
}

start_fleet() {
    start_standins || exit 1
    digest1=$(publish 1 1048576 1)
    digest2=$(publish 2 "$SIZE" $((seed + 1)))
    { base_items; rollout_item 1 "$digest1"; } | store_items || exit 1
    start_product || exit 1
    wait_until 30 all_engines_ready "$digest1" \
        || note_failure "$(engines_ready "$digest1") of $ENGINES engines are ready"
}

# Hosts of the engines, "," between them and "/" between data centres.
baseline_nodes() {
    local d i text=
    for ((d = 1; d <= ${#DCS[@]}; ++d)); do
        text+="${text:+/}"
        for ((i = d - 1; i < ENGINES; i += ${#DCS[@]})); do
            text+="$(engine_host "$i"),"
        done
    done
    echo "$text"
}

# run_baseline MODE DIGEST
run_baseline() {
    "$bin/standin-baseline" --mode "$1" --nodes "$(baseline_nodes)" --manifest "$2" \
        --origin "$(origin_host):18001" --size "$SIZE" | tail -1
}

# warm_up OPTIONS...: sends load that warms up the engines and their agents' limits.
warm_up() {
    start_load warmup --concurrency 24 --seconds 4 --seed $((seed + 1000)) "$@"
    wait "${pids[warmup]}"
    unset 'pids[warmup]'
}

# Largest count of bytes among the links whose name begins with the prefix.
max_link() {
    control "$(proxy_control)" counters | sed -n "s/^link=$1[^ ]* bytes=//p" | sort -n | tail -1
}

inject_fault() {
    case $fault in
        none) ;;
        origin) (sleep 1.5 && control "$(origin_address)" 'down?on=1' >/dev/null) & ;;
        corrupt) control "$(proxy_control)" 'corrupt?count=5' >/dev/null ;;
        cut) control "$(proxy_control)" "cut?a=${REGIONS[0]}&b=${REGIONS[1]}" >/dev/null ;;
        platform) (sleep 0.5 && control "$(platform_address)" outage >/dev/null) & ;;
        silence) (sleep 1 && control "$(proxy_control)" silence >/dev/null) & ;;
        *) note_failure "unknown fault $fault" ;;
    esac
}

burst() {
    start_fleet
    warm_up
    start_load load --concurrency 12 --seconds 50 --seed "$seed"
    wait_listening "$(load_address)" || exit 1
    sleep 4
    control "$(proxy_control)" reset >/dev/null
    control "$(load_address)" 'phase?name=push' >/dev/null
    local begin seconds limit origin line
    begin=$(now_ms)
    rollout_item 2 "$digest2" | apply_items push
    inject_fault
    wait_until 40 all_engines_ready "$digest2" \
        || note_failure "$(engines_ready "$digest2") of $ENGINES engines have the version"
    seconds=$(ratio $(($(now_ms) - begin)) 1000)
    origin=$(ratio "$(origin_bytes "$digest2")" "$SIZE")
    local vm_copies wan_copies
    vm_copies=$(ratio "$(max_link 'down:')" "$SIZE")
    wan_copies=$(ratio "$(max_link 'wan:')" "$SIZE")
    finish_load load
    line=$(cat "$run_dir/load.line")
    mapfile -t names < <(product_names)
    control "$(proxy_control)" heal >/dev/null
    control "$(origin_address)" 'down?on=0' >/dev/null
    control "$(platform_address)" 'outage?mode=off' >/dev/null
    stop_gracefully "${names[@]}"

    local digest direct tree
    digest=$(publish baseline-origin "$SIZE" $((seed + 100)))
    direct=$(run_baseline origin "$digest")
    digest=$(publish baseline-tree "$SIZE" $((seed + 101)))
    tree=$(run_baseline tree "$digest")
    echo "$line"
    echo "$direct"
    echo "$tree"
    limit=$(limit_seconds "$SIZE")
    finish "bench=burst endpoints=$ENGINES push_seconds=$seconds limit_seconds=$limit push_over_limit=$(
        ratio "$seconds" "$limit") origin_copies=$origin vm_link_copies=$vm_copies wan_copies=$wan_copies idle_p99_us=$(
        value "$line" p99_us_idle) push_p99_us=$(value "$line" p99_us_push) p99_ratio=$(
        ratio "$(value "$line" p99_us_push)" "$(value "$line" p99_us_idle)") generation_p99_ratio=$(
        ratio "$(value "$line" p99_us_generation_push)" "$(value "$line" p99_us_generation_idle)") failed=$(
        value "$line" failed) mixed=$(value "$line" mixed) origin_baseline_over_limit=$(
        ratio "$(value "$direct" seconds)" "$limit") tree_baseline_over_limit=$(
        ratio "$(value "$tree" seconds)" "$limit")"
}

# served LINE: the share of requests that were answered at the first try.
served() { ratio "$(value "$1" answered)" "$(value "$1" requests)"; }

# engines_but DC: addresses of the engines outside of a data centre (from 0; -1 for all).
engines_but() {
    local i text=
    for ((i = 0; i < ENGINES; ++i)); do
        [ "$(dc_of "$i")" = $(($1 + 1)) ] || text+="${text:+,}$(engine_address "$i")"
    done
    echo "$text"
}

chill_dc() {
    local i
    for ((i = 0; i < ENGINES; ++i)); do
        [ "$(dc_of "$i")" = $(($1 + 1)) ] && control "$(engine_address "$i")" cold >/dev/null
    done
}

withdraw() {
    start_fleet
    # An open loop at a fixed rate with one try: a refusal counts against the share served, and does
    # not change the load. About 2 streams run on each engine.
    local load=(--rate $((ENGINES * 13)) --concurrency 1000 --seconds 30 --tries 1 --max-tokens 60
        --generations 1 --lookups 0 --orders 0 --seed "$seed") at_limit new_work line baseline
    warm_up --generations 1 --lookups 0 --orders 0
    start_load load "${load[@]}"
    wait_listening "$(load_address)" || exit 1
    sleep 3
    control "$(load_address)" 'phase?name=change' >/dev/null
    withdraw_dc "${DCS[1]}"
    sleep 2
    at_limit=$(dc_work 1)
    sleep 1.5
    new_work=$(($(dc_work 1) - at_limit))
    chill_dc 1
    return_dc "${DCS[1]}"
    sleep 4
    finish_load load
    line=$(cat "$run_dir/load.line")
    mapfile -t names < <(product_names)
    stop_gracefully "${names[@]}"

    load_port=101
    start baseline "$bin/standin-load" --listen "$(load_address)" --direct \
        --entries "$(engines_but -1)" "${load[@]}"
    wait_listening "$(load_address)" || exit 1
    sleep 3
    control "$(load_address)" 'phase?name=change' >/dev/null
    control "$(load_address)" "entries?list=$(engines_but 1)" >/dev/null
    sleep 3.5
    chill_dc 1
    control "$(load_address)" "entries?list=$(engines_but -1)" >/dev/null
    sleep 4
    finish_load baseline
    baseline=$(cat "$run_dir/baseline.line")
    echo "$line"
    echo "$baseline"
    finish "bench=withdraw endpoints=$ENGINES served=$(served "$line") p99_us_idle=$(
        value "$line" p99_us_idle) p99_us_change=$(value "$line" p99_us_change) new_work_after_2s=$new_work cut=$(
        value "$line" cut) baseline_served=$(served "$baseline") baseline_p99_us_idle=$(
        value "$baseline" p99_us_idle) baseline_p99_us_change=$(value "$baseline" p99_us_change)"
}

# CPU time of a process in hundredths of a second.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${pids[$1]}/stat"; }

requests() {
    ENGINES=1
    ORDER_SERVICES=1
    DCS=("${DCS[0]}")
    REGIONS=("${REGIONS[0]}")
    ENTRIES_PER_DC=1
    VM_RATE=0
    SERVICE_OPTIONS=(--capacity 256 --service-us 500)
    start_fleet
    local entry direct lookups=(--generations 0 --lookups 1 --orders 0 --seed "$seed")
    entry="$(entry_host 0):8080"
    # Warms up the agent's limit and the connections.
    run_load "$entry" --concurrency 4 --seconds 2 "${lookups[@]}" >/dev/null
    local one one_direct many ticks
    one_direct=$(run_load "$(order_address 0)" --direct --concurrency 1 --seconds 4 "${lookups[@]}")
    one=$(run_load "$entry" --concurrency 1 --seconds 4 "${lookups[@]}")
    ticks=$(cpu_ticks entry0)
    many=$(run_load "$entry" --concurrency 16 --seconds 5 "${lookups[@]}")
    ticks=$(($(cpu_ticks entry0) - ticks))
    mapfile -t names < <(product_names)
    stop_gracefully "${names[@]}"
    local p50 p99
    p50=$(($(value "$one" p50_us_idle) - $(value "$one_direct" p50_us_idle)))
    p99=$(($(value "$one" p99_us_idle) - $(value "$one_direct" p99_us_idle)))
    echo "$many"
    finish "bench=requests direct_p50_us=$(value "$one_direct" p50_us_idle) direct_p99_us=$(
        value "$one_direct" p99_us_idle) added_p50_us=$p50 added_p99_us=$p99 requests=$(
        value "$many" answered) failed=$(value "$many" failed) requests_per_core_second=$(
        ratio "$(value "$many" answered)" "$(ratio "$ticks" 100)")"
}

# run_load ADDRESS OPTIONS...: runs the load generator until it ends and prints its last line.
run_load() {
    local address=$1
    shift
    "$bin/standin-load" --entries "$address" --tokens "$(account_token 0)" "$@" | tail -1
}

core() {
    local program
    for program in "$bin"/*_bench; do
        [ -x "$program" ] || continue
        "$program" --benchmark_min_time=0.05 2>>"$run_dir/core.log" || note_failure "$program"
    done
    finish "bench=core"
}

bounds() {
    "$bin/routing_bench" --benchmark_filter='^bounds' --benchmark_counters_tabular=true 2>>"$run_dir/bounds.log" \
        || note_failure routing_bench
    finish "bench=bounds"
}

push() {
    "$bin/relayagent_bench" 2>>"$run_dir/push.log" | grep -v 'event=' || note_failure relayagent_bench
    finish "bench=push"
}

fleet_begin "bench-$name"
case $name in
    burst | withdraw | requests | push | bounds | core) "$name" ;;
    *)
        echo "bench: unknown benchmark $name; use burst, withdraw, requests, push, bounds or core" >&2
        exit 2
        ;;
esac
