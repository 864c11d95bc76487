#!/usr/bin/env bash
# Configures and builds. Usage: Tools/build.sh [build folder] [extra CMake arguments...]
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${1:-$root/Build}
shift || true
# Worktrees share compiled objects: paths are taken relative to the checkout.
export CCACHE_BASEDIR="$root" CCACHE_NOHASHDIR=1 CCACHE_MAXSIZE=5G
mkdir -p "$build"
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release "$@" >"$build/configure.log" 2>&1 \
    || { cat "$build/configure.log"; exit 1; }
cmake --build "$build" -- ${BUILD_JOBS:+-j "$BUILD_JOBS"}
