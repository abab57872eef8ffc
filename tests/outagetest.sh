#!/usr/bin/env bash
# Guards against requests that fail during an outage of the platform, and against refusals of orders
# with "not run" although the order ran.
source "$(dirname "$0")/scenario.sh"
scenario_begin outage
load_begin --give-up-share 0.5
control "$(platform_address)" 'outage?mode=cut' >/dev/null
sleep 4
check "lookups in the outage" "$(counter "$(order_address 0)" lookups)" -gt 0
control "$(platform_address)" 'outage?mode=hang' >/dev/null
sleep 3
control "$(platform_address)" 'outage?mode=off' >/dev/null
sleep 3
orders=$(($(counter "$(order_address 0)" orders) + $(counter "$(order_address 1)" orders)))
sleep 3
load_end
after=$(($(counter "$(order_address 0)" orders) + $(counter "$(order_address 1)" orders)))
check "orders after the outage" "$after" -gt "$orders"
check_all_answered
check "refusals without Retry-After" "$(value "$line" no_retry_after)" -eq 0
scenario_end
