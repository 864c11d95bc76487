#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each for a fixed number of executions from a fixed seed.
# Usage: Tools/fuzz.sh [executions of each] [fuzzer...]. Prints one line for each fuzzer; the exit
# status is 1 when one found something. What they find is kept in <build folder>/findings.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${FUZZ_BUILD_DIR:-$root/BuildFuzz}
runs=${1:-20000}
shift || true
names=("$@")
[ "${#names[@]}" -gt 0 ] || names=(Configuration InstanceList Gossip ChannelFrame IdempotencyKey
    UsageReport Records)

mkdir -p "$build"
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release -DLC_FUZZERS=ON \
    -DCMAKE_CXX_COMPILER=clang++ >"$build/configure.log" 2>&1 \
    || { cat "$build/configure.log"; exit 1; }
targets=("${names[@]/#/Fuzz}")
cmake --build "$build" --target "${targets[@]}" -- ${BUILD_JOBS:+-j "$BUILD_JOBS"} || exit 1

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$build/findings"
failed=0
for name in "${names[@]}"; do
    mkdir -p "$work/$name"
    seeds=()
    for folder in "$root/Source/Fuzzers/Seeds/$name" "$root/platform/tests/Seeds/$name"; do
        [ -d "$folder" ] && seeds+=("$folder")
    done
    [ "$name" = Configuration ] && seeds+=("$root/examples")
    "$build/bin/Fuzz$name" -runs="$runs" -seed=20261202 -max_len=16384 -timeout=10 \
        -malloc_limit_mb=256 -rss_limit_mb=1024 -print_final_stats=1 \
        -artifact_prefix="$build/findings/$name-" "$work/$name" "${seeds[@]}" >"$work/$name.log" 2>&1
    status=$?
    executed=$(grep -oE 'number_of_executed_units: [0-9]+' "$work/$name.log" | grep -oE '[0-9]+$')
    if [ "$status" -eq 0 ]; then
        echo "$name: ${executed:-0} executions, nothing found"
        continue
    fi
    failed=1
    echo "$name: ${executed:-?} executions, status $status"
    grep -E 'ERROR|runtime error|SUMMARY|Test unit written' "$work/$name.log" | head -n 6
done
exit "$failed"
