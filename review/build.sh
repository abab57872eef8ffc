#!/usr/bin/env bash
# The stand-ins of the cases are Python programs (review/standin/fleet.py) and need no build; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/fleet.py */run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
