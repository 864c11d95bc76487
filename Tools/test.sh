#!/usr/bin/env bash
# Builds everything and runs all tests: unit tests by CTest, then the integration tests by pytest, on
# TEST_WORKERS workers, and last those marked "alone" with no other test beside them.
# Closes with one line "N passed, N failed".
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/Build}
"$root/Tools/install-packages.sh" || exit 1
"$root/Tools/build.sh" "$build" || { echo "the build failed"; echo "0 passed, 1 failed"; exit 1; }

report=$(mktemp -d)
trap 'rm -rf "$report"' EXIT
# The time limit only ends tests that hang: the longest ones, of a minute alone, took 274 s and more
# than 300 s beside other builds.
(cd "$build" && ctest --output-on-failure -j 6 --output-junit "$report/unit.xml" --timeout 900)

# Usage: run_pytest REPORT ARGUMENT...
run_pytest()
{
    local file=$report/$1
    shift
    BUILD_DIR="$build" /usr/bin/python3 -m pytest -q -p no:cacheprovider --junit-xml "$file" \
        "$@" "$root/Source/IntegrationTests"
    # Beyond 1, for failed tests, tests may be missing from the report.
    [ "$?" -le 1 ] || rm -f "$file"
}

# Tests of a module share its fixtures. Most tests wait, but some judge times, so workers are few.
run_pytest integration.xml -n "${TEST_WORKERS:-3}" --dist loadfile -m "not alone"
run_pytest integration-alone.xml -m alone
/usr/bin/python3 "$root/Tools/count_results.py" "$root/KNOWN-RED.txt" \
    "$report/unit.xml" "$report/integration.xml" "$report/integration-alone.xml"
