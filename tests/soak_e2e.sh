#!/usr/bin/env bash
# Short soak test of real processes under random faults; fails if a guarantee is violated. Longer runs are started by hand, see
# CONTRIBUTING.md.
# Usage: tests/soak_e2e.sh BUILD_DIR
set -euo pipefail
build=$1
folder=$(mktemp -d)
# The soak may run the programs as another user.
chmod 711 "$folder"
"$build/bin/vanillalift-soak" --programs "$build/bin" --friendly --seed 1 --time 8 --folder "$folder/site"
"$build/bin/vanillalift-soak" --programs "$build/bin" --seed 28 --time 8 --folder "$folder/site"
rm -rf "$folder"
