#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python scripts (site2.py and the cases): there is nothing to compile. The programs come from the
# build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "python3 3.11 or later is needed"; exit 1; }
for it in review/site2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$it" || exit 1
done
for it in vanillalift-gateway vanillalift-controller; do
    test -x "target/bin/$it" || { echo "target/bin/$it is missing: run the build of deploy/system.toml first"; exit 1; }
done
