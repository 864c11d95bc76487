#!/usr/bin/env bash
# Measures again the slopes on which docs/CAPACITY.md stands and prints them as tables.
# Usage: Tools/capacity.sh [options of Tools/capacity.py]
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/Build}
"$root/Tools/build.sh" "$build" >&2
nproc | sed 's/^/cores: /'
sed 's/^/load average before: /' /proc/loadavg
/usr/bin/python3 "$root/Tools/capacity.py" --build "$build" "$@"
sed 's/^/load average after: /' /proc/loadavg
