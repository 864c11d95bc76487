#!/usr/bin/env bash
# Formats all sources; with --check only says which files are not formatted (exit status 1).
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h' 'examples/*.cpp' \
    | xargs -r clang-format "${mode[@]}"
