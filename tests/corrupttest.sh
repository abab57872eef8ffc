#!/usr/bin/env bash
# Guards against corrupted chunks that are stored, sent to other agents or loaded.
source "$(dirname "$0")/scenario.sh"
scenario_begin corrupt
load_begin --generations 0 --lookups 0 --orders 1 --concurrency 1
control "$(origin_address)" 'corrupt?count=3' >/dev/null
control "$(proxy_control)" "corrupt?a=$(engine_host 0)&count=2" >/dev/null
push_version_2
check_version_2 40
check "corrupted ranges" "$(control "$(origin_address)" counters | sed -n 's/.*corrupted=//p')" -eq 3
load_end
check "origin bytes" "$(origin_bytes "$digest2")" -le $((SIZE * 4))
scenario_end
