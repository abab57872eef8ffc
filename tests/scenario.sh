# Shared by the integration tests: a small fleet under load, and checks of its counters.
source "$(dirname "${BASH_SOURCE[0]}")/../scripts/lib.sh"

DCS=(montevideo-a salto-a)
REGIONS=(montevideo litoral)
ENGINES=4
ORDER_SERVICES=2
ACCOUNTS=3
SIZE=${SIZE:-4194304}

# scenario_begin NAME: starts the fleet with version 1 on every engine.
scenario_begin() {
    set -uo pipefail
    fleet_begin "$1"
    start_standins || exit 1
    digest1=$(publish 1 1048576 1)
    digest2=$(publish 2 "$SIZE" 2)
    { base_items; rollout_item 1 "$digest1"; } | store_items || exit 1
    start_product || exit 1
    wait_until 30 all_engines_ready "$digest1" || {
        note_failure "$(engines_ready "$digest1") of $ENGINES engines are ready"
        exit 1
    }
    # Entries get the endpoints from heartbeats.
    sleep 1.5
}

# load_begin OPTIONS...: requests and orders from now until load_end.
load_begin() {
    local option defaults=()
    for option in "--concurrency 12" "--seconds 60" "--deadline-ms 20000" "--seed 7"; do
        # shellcheck disable=SC2206
        [[ " $* " = *" ${option% *} "* ]] || defaults+=($option)
    done
    start_load load "${defaults[@]}" "$@"
    wait_listening "$(load_address)" || exit 1
    sleep 1
}

# load_end: ends the load; its last line is in $line. Broken answers are failures in every scenario.
load_end() {
    finish_load load
    line=$(cat "$run_dir/load.line")
    echo "$line"
    check "requests" "$(value "$line" requests)" -gt 50
    check "answered" "$(value "$line" answered)" -gt 40
    for key in mixed wrong truncated duplicate_orders lost_orders false_not_run wrong_repeats; do
        check "$key" "$(value "$line" $key)" -eq 0
    done
    check "mixed streams" "$(engine_sum mixed_streams)" -eq 0
    check "loads of bad weights" "$(engine_sum bad_loads)" -eq 0
}

# check NAME VALUE OPERATOR BOUND
check() {
    [ -n "$2" ] && [ "$2" "$3" "$4" ] || note_failure "$1 is '$2', expected $3 $4"
}

# check_all_answered: every request except orders with an unknown outcome was answered in the end.
check_all_answered() {
    local orders
    orders=$(value "$line" failed_orders)
    check "failed requests" $(($(value "$line" failed) - ${orders:-0})) -eq 0
}

push_version_2() { rollout_item 2 "$digest2" | apply_items push; }
check_version_2() {
    wait_until "${1:-30}" all_engines_ready "$digest2" \
        || note_failure "$(engines_ready "$digest2") of $ENGINES engines have version 2"
}

scenario_end() {
    mapfile -t names < <(product_names)
    stop_gracefully "${names[@]}"
    echo "failures=${#failures[@]}"
    [ "${#failures[@]}" = 0 ]
    exit
}
