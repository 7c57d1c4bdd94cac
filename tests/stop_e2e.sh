#!/usr/bin/env bash
# Guards against stops that callers notice: a request on a kept connection whose process leaves without an answer.
# Usage: tests/stop_e2e.sh BUILD_DIR
set -euo pipefail
exec timeout 150 python3 "$(dirname "$0")/stop_e2e.py" "$1"
