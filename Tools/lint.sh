#!/usr/bin/env bash
# Runs clang-tidy. Usage: Tools/lint.sh [file.cpp...]; without files, over all of Source.
# Files that passed before, as Tools/lint.py tells, are passed over.
set -uo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/Build}
cd "$root" || exit 1
files=("$@")
[ "${#files[@]}" -gt 0 ] || mapfile -t files < <(git ls-files -co --exclude-standard 'Source/*.cpp' 'platform/*.cpp' 'examples/*.cpp')
/usr/bin/python3 Tools/lint.py "$build" "${LINT_JOBS:-$(nproc)}" "${files[@]}" \
    2> >(grep -v -E 'warnings? (generated|treated)|^Suppressed|^Use -header-filter' >&2)
