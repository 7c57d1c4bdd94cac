#!/usr/bin/env bash
# A short soak of real processes under faults: no promise may be broken. Longer ones are run by hand, see CONTRIBUTING.md.
# Usage: tests/soak_e2e.sh BUILD_DIR
set -euo pipefail
build=$1
folder=$(mktemp -d)
play() {
    "$build/bin/vanillalift-soak" --programs "$build/bin" --seed "$1" --time "$2" --folder "$folder/$1"
}
play 1 8
# Starts repeated at a crashed endpoint renewed its lease, so that its tasks were not placed elsewhere.
play 66 25
play 84 25
rm -rf "$folder"
