#!/usr/bin/env bash
# Regenerates the protobuf code from src/protocol/control.proto. The output is committed.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=src/protocol --cpp_out=src/protocol/generated/protocol control.proto
