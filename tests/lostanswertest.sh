#!/usr/bin/env bash
# Guards against orders that run twice, or are refused although they ran, when the platform's answer
# to a write is lost after the write took effect.
source "$(dirname "$0")/scenario.sh"
scenario_begin lostanswer
load_begin
for i in 1 2 3 4; do
    control "$(platform_address)" 'lose-answers?count=5' >/dev/null
    sleep 1
done
control "$(platform_address)" 'lose-answers?count=1&prefix=config/' >/dev/null
push_version_2
check_version_2
load_end
check_all_answered
check "lost answers" "$(counter "$(platform_address)" lost_answers)" -gt 5
check "failed orders" "$(value "$line failed_orders=0" failed_orders)" -eq 0
scenario_end
