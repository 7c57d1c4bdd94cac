#!/bin/sh
# The stand-ins of the cases are Python scripts (python3 of scripts/packages.txt) and need no build: checks that they can be read.
set -eu
cd "$(dirname "$0")"
for it in lift.py */case.py; do
    python3 -B -c 'import ast, sys, tomllib; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$it"
done
