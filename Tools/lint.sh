#!/usr/bin/env bash
# Runs clang-tidy. Usage: Tools/lint.sh [file.cpp...]; without files, over all of Source.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/Build}
cd "$root" || exit 1
files=("$@")
[ "${#files[@]}" -gt 0 ] || mapfile -t files < <(git ls-files -co --exclude-standard 'Source/*.cpp' 'platform/*.cpp' 'examples/*.cpp')
# clang 14 needs to be told that the standard library's coroutines may be used with this Boost.
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" \
    clang-tidy --quiet -p "$build" --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
    --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE --extra-arg=-Wno-unknown-warning-option \
    2> >(grep -v -E 'warnings? (generated|treated)|^Suppressed|^Use -header-filter' >&2)
