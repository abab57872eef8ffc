#!/usr/bin/env bash
# Runs the programs of the operators' platform as processes on loopback addresses, injects faults drawn
# from a seed and checks the operators' rules; docs/soak.md has the options. Logs are in
# out/soak/seed-N/. Exits with 1 when a rule was broken. Uses the programs in build/bin or
# $ORIOLERILL_BIN.
set -uo pipefail
cd "$(dirname "$0")/.."

seed=1
for ((i = 1; i < $#; ++i)); do
    [ "${!i}" = --seed ] && next=$((i + 1)) && seed=${!next}
done
bin=${ORIOLERILL_BIN:-$PWD/build/bin}
out=${OUT:-$PWD/out/soak}/seed-$seed
rm -rf "$out"
mkdir -p "$out"
# Concurrent runs use different networks; lib.sh uses those up to 219.
"$bin/standin-soak" --net "${NET:-$((221 + $$ % 30))}" --programs "$bin" --repository "$PWD" --output "$out" "$@" \
    >"$out/soak.log" 2>&1
status=$?
grep -E "VIOLATION|^standin-soak:" "$out/soak.log" | head -20
tail -1 "$out/soak.log"
exit $status
