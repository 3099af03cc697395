#!/bin/sh
# The stand-ins of review/11 to review/15 are Python modules that need nothing
# but the standard library: there is nothing to compile. Checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import platform_3'
for case in 1[1-5]/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case"
done
