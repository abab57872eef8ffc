#!/usr/bin/env bash
# Installs what is needed, builds, checks format and lint, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/setup.sh
scripts/lint.sh
ctest --test-dir build --output-on-failure
