#!/usr/bin/env bash
# The stand-ins of case 6 are Python programs (review/6/run.py, review/standin/fleet.py) and need no build; this checks
# that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/fleet.py 6/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
