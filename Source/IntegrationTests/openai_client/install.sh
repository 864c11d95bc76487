#!/usr/bin/env bash
# Installs the OpenAI client library into the ignored folder node_modules beside this script.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
[ -d node_modules/openai ] || npm install --no-package-lock --no-audit --no-fund --silent
