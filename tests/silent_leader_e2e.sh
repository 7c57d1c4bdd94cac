#!/usr/bin/env bash
# Guards against a new leader that places nothing because all heartbeats went to its predecessor, which has fallen silent.
# Usage: tests/silent_leader_e2e.sh BUILD_DIR
set -euo pipefail
exec timeout 120 python3 "$(dirname "$0")/silent_leader_e2e.py" "$1"
