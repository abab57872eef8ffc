#!/usr/bin/env bash
# Guards against requests that hang on unresponsive connections while new connections work.
source "$(dirname "$0")/scenario.sh"
scenario_begin silence
load_begin --deadline-ms 15000
# Connections of callers are not silenced: detecting that is up to the callers.
for i in 1 2; do
    for peer in "${DCS[@]}" platform store; do
        control "$(proxy_control)" "silence?a=${DCS[0]}&b=$peer" >/dev/null
    done
    sleep 3
done
check "silenced connections" "$(counter "$(proxy_control)" silenced)" -gt 5
push_version_2
check_version_2
load_end
check_all_answered
check "failed orders" "$(value "$line failed_orders=0" failed_orders)" -eq 0
scenario_end
