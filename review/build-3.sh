#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs, so that nothing has to be built: this reads them once.
set -e
cd "$(dirname "$0")"
for file in site3.py executor3.py 1[1-5]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
