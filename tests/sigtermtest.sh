#!/usr/bin/env bash
# Guards against a planned stop that interrupts requests or does not finish.
source "$(dirname "$0")/scenario.sh"
scenario_begin sigterm
load_begin
stop_gracefully agent0 orderagent0
sleep 1
stop_gracefully entry1
sleep 2
load_end
check_all_answered
check "cut answers" "$(value "$line" cut)" -eq 0
check "failed orders" "$(value "$line failed_orders=0" failed_orders)" -eq 0
scenario_end
