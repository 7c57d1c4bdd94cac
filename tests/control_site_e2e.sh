#!/usr/bin/env bash
# Guards against keys, limits and changes that do not hold while parts of a whole site are cut off, paused or killed.
# Usage: tests/control_site_e2e.sh BUILD_DIR [FIRST_PORT] [SCENARIO...]
set -euo pipefail
exec timeout 280 python3 "$(dirname "$0")/control_site_e2e.py" "$1" "${2:-28000}" "${@:3}"
