#!/usr/bin/env bash
# Guards against clients that make a gateway or a controller grow past its memory with requests that never come whole.
# Usage: tests/http_clients_e2e.sh BUILD_DIR
set -euo pipefail
exec timeout 60 python3 "$(dirname "$0")/http_clients_e2e.py" "$1"
