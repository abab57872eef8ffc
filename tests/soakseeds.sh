#!/usr/bin/env bash
# Runs the soak test with fixed seeds. Fails when a rule is broken, or when no run checked it.
set -uo pipefail
cd "$(dirname "$0")/.."

lines=
runs=0
run() {
    local line
    line=$(scripts/soak.sh "$@")
    status=$?
    echo "$line"
    lines+=$line$'\n'
    runs=$((runs + 1))
    [ "$status" = 0 ] || exit 1
}

run --seed 306 --seconds 30
run --seed 307 --seconds 30
# No faults of the store, so that the bounds that hold only without them are checked.
run --seed 308 --seconds 30 --entries 3 \
    --faults endpoint-drain,endpoint-limit,endpoint-leave,endpoint-quiet,configs,weights,withdrawal

# Parts of prompts that crash engines, while entries are killed and the store is away.
run --seed 309 --seconds 25 --entries 3 --faults endpoint-poison,entry-kill,store-down
# Whole requests of all kinds that crash endpoints, two at a time beside a part.
run --seed 315 --seconds 20 --entries 4 --clients 60 \
    --faults endpoint-fatal-request,endpoint-poison,entry-kill

# Failures beside streams that are cut before their first event, and agents that stand still between
# the check of the staged pieces and the order to load them; orders accepted late; planned stops.
run --seed 310 --seconds 15 --clients 60 \
    --faults endpoint-failures,agent-freeze-after-check,engine-late-order,weights,entry-stop

# Publishers that get no answer from the store, while endpoints leave and the configuration grows;
# the entries behind the first four are bound by every change.
run --seed 313 --seconds 20 --entries 8 \
    --faults store-silent-to-publishers,endpoint-drain,configs,config-growth

# Regression: entries cut streams while all engines were silent for less than clients wait.
run --seed 314 --seconds 15 --entries 4 --clients 60 --faults engine-silence,entry-stop,entry-stop-pair

# Regression: entries took revisions that a returned store gave out again for the ones that they knew,
# and kept an older configuration.
run --seed 353 --seconds 15 --entries 8 \
    --faults store-restore,store-silent-to-publishers,endpoint-drain,configs,withdrawal

# Versions of the weights whose bounds run out while engines serve older ones, beside stops and
# kills, so that VERSION is in force.
run --seed 316 --seconds 16 --entries 3 --clients 50 --faults weights-pair,entry-stop,agent-stop,agent-kill

# Requests and closes that a disrupted link delays, beside planned stops and endpoints that leave.
run --seed 317 --seconds 15 --entries 3 --clients 40 \
    --faults link-disrupted,entry-stop,endpoint-drain,weights-pair

# Watches that the store cuts off, beside endpoints that leave with and without a notice.
run --seed 318 --seconds 15 --entries 3 --faults watch-cut,endpoint-remove,endpoint-drain,configs

never=$(awk -v runs="$runs" -F'not checked:' 'NF == 2 { n = split($2, rules, " "); for (i = 1; i <= n; ++i) ++count[rules[i]] }
    END { for (rule in count) if (count[rule] == runs) print rule }' <<<"$lines")
if [ -n "$never" ]; then
    echo "soak: checked in none of the runs:" $never
    exit 1
fi
