#!/bin/sh
# The stand-ins that the scripts start are Python: those of the project in platform/tests and
# Source/IntegrationTests, and small ones in review/. There is nothing to compile; this checks them.
set -e
cd "$(dirname "$0")/.."
find review platform/tests/standin.py Source/IntegrationTests/ports.py -name '*.py' | while read -r file; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/bin/laburnumchute || echo "target/bin/laburnumchute is missing: run the build of deploy/system.toml"
