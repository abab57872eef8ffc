#!/usr/bin/env bash
# Guards against requests that are never answered, and orders that run twice, when an entry is killed:
# callers repeat them through another entry.
source "$(dirname "$0")/scenario.sh"
scenario_begin killentry
load_begin
stop entry0 KILL
sleep 2
push_through=1
rollout_item 2 "$digest2" >"$run_dir/push.items"
document <"$run_dir/push.items" >"$run_dir/push.json"
apply "$run_dir/push.json" "$push_through" || note_failure "apply through another entry"
check_version_2
load_end
check_all_answered
scenario_end
