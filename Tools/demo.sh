#!/usr/bin/env bash
# Plays a deployment on this machine: Tools/demo.sh [otaru|caroni] [--seconds N] [--serve]
# Starts stand-ins for all that is outside and 4 entry instances, lets callers come who abandon most
# of their requests, and prints a table. Exit status 1 when a wanted request was lost, an answer was
# wrong or something ran twice. --serve plays no callers but keeps all up until interrupted and
# prints the entry instances' addresses. Ends all that it started.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
export BUILD_DIR=${BUILD_DIR:-$root/Build}
"$root/Tools/install-packages.sh"
"$root/Tools/build.sh" "$BUILD_DIR" >"$BUILD_DIR.log" 2>&1 || { tail -40 "$BUILD_DIR.log"; exit 1; }
exec /usr/bin/python3 "$root/Tools/demo.py" "$@"
