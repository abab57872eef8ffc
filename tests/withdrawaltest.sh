#!/usr/bin/env bash
# Guards against new requests in a withdrawn data centre, and against none after its return.
source "$(dirname "$0")/scenario.sh"
scenario_begin withdrawal
load_begin
check "work before" "$(dc_work 1)" -gt 0
withdraw_dc "${DCS[1]}"
sleep 2
before=$(dc_work 1)
sleep 3
check "requests begun in the withdrawn data centre" $(($(dc_work 1) - before)) -eq 0
return_dc "${DCS[1]}"
wait_until 15 eval '[ "$(dc_work 1)" -gt $before ]' || note_failure "no requests after the return"
load_end
check_all_answered
check "cut answers" "$(value "$line" cut)" -eq 0
scenario_end
