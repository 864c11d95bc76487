#!/usr/bin/env bash
# Builds everything and runs all tests: unit tests by CTest, then the integration tests by pytest.
# Closes with one line "N passed, N failed".
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/Build}
"$root/Tools/install-packages.sh" || exit 1
"$root/Tools/build.sh" "$build" || { echo "the build failed"; echo "0 passed, 1 failed"; exit 1; }

report=$(mktemp -d)
trap 'rm -rf "$report"' EXIT
(cd "$build" && ctest --output-on-failure -j 6 --output-junit "$report/unit.xml" --timeout 300)
BUILD_DIR="$build" /usr/bin/python3 -m pytest -q -p no:cacheprovider \
    --junit-xml "$report/integration.xml" "$root/Source/IntegrationTests"
/usr/bin/python3 "$root/Tools/count_results.py" "$root/KNOWN-RED.txt" \
    "$report/unit.xml" "$report/integration.xml"
