#!/usr/bin/env bash
# Guards against controllers and gateways that end, or do not start, for want of something on their host that they can do without.
# Usage: tests/plain_hosts_e2e.sh BUILD_DIR [CASE]...
set -euo pipefail
exec timeout 120 python3 "$(dirname "$0")/plain_hosts_e2e.py" "$@"
