#!/usr/bin/env bash
# Guards against violations of key withdrawal, limits and change history while parts of a site are partitioned, paused or killed.
# Usage: tests/control_site_e2e.sh BUILD_DIR [FIRST_PORT] [SCENARIO...]
set -euo pipefail
exec timeout 280 python3 "$(dirname "$0")/control_site_e2e.py" "$1" "${2:-28000}" "${@:3}"
