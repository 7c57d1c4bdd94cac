#!/usr/bin/env bash
# A short soak of real processes under faults: no promise may be broken. Longer ones are run by hand, see CONTRIBUTING.md.
# Usage: tests/soak_e2e.sh BUILD_DIR
set -euo pipefail
build=$1
folder=$(mktemp -d)
"$build/bin/vanillalift-soak" --programs "$build/bin" --seed 1 --time 8 --folder "$folder/site"
rm -rf "$folder"
