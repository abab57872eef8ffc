#!/usr/bin/env bash
# Guards against orders and switches of weights by a process that was suspended for longer than its
# leases and continues with expired state.
source "$(dirname "$0")/scenario.sh"
scenario_begin freeze
load_begin
push_version_2
sleep 0.3
for name in entry0 agent0 orderagent0; do kill -STOP "${pids[$name]}"; done
sleep 12
for name in entry0 agent0 orderagent0; do kill -CONT "${pids[$name]}"; done
check_version_2
sleep 2
load_end
check_all_answered
check "fencing numbers below the last one" "$(engine_sum old_fences)" -eq 0
scenario_end
