#!/usr/bin/env bash
# Installs the packages of Tools/packages.txt that are missing; asks for nothing when all are there.
set -euo pipefail
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
mapfile -t wanted < <(grep -v '^#' "$here/packages.txt" | grep -v '^$')
missing=()
for package in "${wanted[@]}"; do
    status=$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null || true)
    [ "$status" = installed ] || missing+=("$package")
done
# The test of the OpenAI client needs Node.js with npm, from whatever source it is there.
command -v npm >/dev/null || missing+=(nodejs npm)
[ "${#missing[@]}" -eq 0 ] && exit 0
runner=()
[ "$(id -u)" -eq 0 ] || runner=(sudo)
"${runner[@]}" apt-get update -qq
"${runner[@]}" env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
