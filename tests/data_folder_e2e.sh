#!/usr/bin/env bash
# Guards against controllers that end, or do not start, because of their data folder or host while the group could go on.
# Usage: tests/data_folder_e2e.sh BUILD_DIR [TEST...]
set -euo pipefail
exec timeout 120 python3 "$(dirname "$0")/data_folder_e2e.py" "$@"
