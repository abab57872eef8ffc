#!/usr/bin/env bash
# Shows a complete deployment on loopback addresses: pushes a model to 15 endpoints in 3 data centres
# while requests and orders run, withdraws a data centre and brings it back, and stops everything.
# The last line has the figures that the load generator and the stand-ins counted. Exits with 1 when
# a check failed. Logs are in out/demo/. DEMO_NO_SETUP=1 skips installing and building.
set -uo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh

SIZE=${SIZE:-33554432}
MAX_UNAVAILABLE=2

[ -n "${DEMO_NO_SETUP:-}" ] || scripts/setup.sh || exit 1
fleet_begin demo

fail() {
    note_failure "$1"
    echo "demo: see the logs in $run_dir" >&2
    exit 1
}

push() {
    echo "demo: pushing version 2 while requests run"
    origin_before=$(origin_bytes "$digest2")
    control "$(load_address)" "phase?name=push" >/dev/null
    push_start=$(now_ms)
    rollout_item 2 "$digest2" | apply_items push || fail "push"
    wait_until 60 all_engines_ready "$digest2" || note_failure "the push did not end in 60 s"
    push_seconds=$(ratio $(($(now_ms) - push_start)) 1000)
    replicas_ready=$(engines_ready "$digest2")
    origin_copies=$(ratio $(($(origin_bytes "$digest2") - origin_before)) "$SIZE")
    control "$(load_address)" "phase?name=idle" >/dev/null
}

withdraw() {
    local at_limit later
    echo "demo: withdrawing ${DCS[1]} for 4 s"
    control "$(load_address)" "phase?name=withdrawn" >/dev/null
    withdraw_dc "${DCS[1]}" || fail "withdrawal"
    sleep 2
    at_limit=$(dc_work 1)
    sleep 2
    later=$(dc_work 1)
    new_work_after_2s=$((later - at_limit))
    return_dc "${DCS[1]}" || fail "return"
    sleep 3
    [ "$(dc_work 1)" -gt "$later" ] || note_failure "${DCS[1]} got no requests after its return"
    control "$(load_address)" "phase?name=idle" >/dev/null
}

echo "demo: starting stand-ins"
start_standins || fail "stand-ins do not start"
digest1=$(publish 1 4194304 1)
digest2=$(publish 2 "$SIZE" 2)
echo "demo: starting $(entry_count) entries, $ENGINES + $ORDER_SERVICES agents"
start_product || fail "entries or agents do not start"

echo "demo: applying services, accounts and the rollout of version 1"
{ base_items; rollout_item 1 "$digest1"; } | apply_items base || fail "first document"
wait_until 40 all_engines_ready "$digest1" \
    || fail "only $(engines_ready "$digest1") of $ENGINES engines have version 1"

echo "demo: requests and orders run"
start_load load --concurrency 24 --seconds 100 --deadline-ms 10000
wait_listening "$(load_address)" || fail "load generator"
sleep 4
push
sleep 1
withdraw
finish_load load
line=$(cat "$run_dir/load.line")

echo "demo: stopping"
mapfile -t names < <(product_names)
mixed_streams=$(engine_sum mixed_streams)
bad_loads=$(engine_sum bad_loads)
stop_gracefully "${names[@]}"

[ "$mixed_streams" = 0 ] || note_failure "weights were switched during $mixed_streams streams"
[ "$bad_loads" = 0 ] || note_failure "$bad_loads engines loaded bad weights"
[ "$replicas_ready" = "$ENGINES" ] || note_failure "$replicas_ready of $ENGINES replicas are ready"
[ "$new_work_after_2s" = 0 ] || note_failure "$new_work_after_2s requests began in ${DCS[1]}"
for key in failed mixed duplicate_orders cut; do
    [ "$(value "$line" $key)" = 0 ] || note_failure "$key=$(value "$line" $key)"
done
echo "$line"
echo "endpoints=$ENGINES replicas_ready=$replicas_ready push_seconds=$push_seconds" \
    "limit_seconds=$(limit_seconds "$SIZE") origin_copies=$origin_copies" \
    "requests=$(value "$line" requests) failed=$(value "$line" failed)" \
    "mixed=$(value "$line" mixed) duplicate_orders=$(value "$line" duplicate_orders)" \
    "cut=$(value "$line" cut) new_work_after_2s=$new_work_after_2s failures=${#failures[@]}"
[ "${#failures[@]}" = 0 ]
