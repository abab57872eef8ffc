#!/usr/bin/env bash
# Guards against a region that stops serving its own callers, or a push that never ends, when the
# connection between regions is interrupted for some seconds.
source "$(dirname "$0")/scenario.sh"
scenario_begin cut
load_begin
push_version_2
sleep 0.3
control "$(proxy_control)" "cut?a=${REGIONS[0]}&b=${REGIONS[1]}" >/dev/null
sleep 5
control "$(proxy_control)" heal >/dev/null
check_version_2
load_end
check_all_answered
scenario_end
