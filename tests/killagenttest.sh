#!/usr/bin/env bash
# Guards against duplicated orders and mixed answers when agents are killed with requests in flight,
# and against a restarted agent that gets no requests.
source "$(dirname "$0")/scenario.sh"
scenario_begin killagent
load_begin
stop orderagent0 KILL
stop agent0 KILL
sleep 2
start_order_agent 0
start_agent 0
sleep 4
before=$(counter "$(engine_address 0)" generations)
wait_until 15 eval '[ "$(counter "$(engine_address 0)" generations)" -gt $before ]' \
    || note_failure "the restarted agent gets no requests"
load_end
check_all_answered
scenario_end
