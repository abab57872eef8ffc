#!/usr/bin/env bash
# Guards against an order that runs twice when it arrives through two entries, concurrently or later.
source "$(dirname "$0")/scenario.sh"
scenario_begin sameorder
load_begin --generations 0 --lookups 0 --orders 1 --repeat-share 1 --give-up-share 0 \
    --seconds 6
sleep 5
load_end
check "repeats" "$(value "$line" repeats)" -gt 50
check "failed requests" "$(value "$line" failed)" -eq 0
check "executions" "$(value "$line" executions)" -eq "$(value "$line" answered)"
scenario_end
