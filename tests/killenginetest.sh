#!/usr/bin/env bash
# Guards against a killed engine that gets no weights after its restart, or more requests than a cold
# engine can run.
source "$(dirname "$0")/scenario.sh"
scenario_begin killengine
load_begin
stop engine0 KILL
sleep 1
start_engine 0
wait_until 25 all_engines_ready "$digest1" || note_failure "the engine has no weights"
before=$(counter "$(engine_address 0)" generations)
wait_until 15 eval '[ "$(counter "$(engine_address 0)" generations)" -gt $before ]' \
    || note_failure "the restarted engine gets no requests"
load_end
check_all_answered
check "overruns of cold engines" "$(engine_sum overrun)" -eq 0
scenario_end
