#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python and need no build; this checks that they can run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for file in harness_2.py {6,7,8,9,10}/case.py; do
    [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/bin/laburnumchute || { echo "build the program first: deploy/system.toml" >&2; exit 1; }
