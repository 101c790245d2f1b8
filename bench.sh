#!/usr/bin/env bash
# Builds and runs a bench scenario; prints one JSON object for each figure.
# Usage: ./bench.sh path|control|faults|capacity|policy [--seed N] [--seeds K] [--out FILE] ...
set -euo pipefail
cd "$(dirname "$0")"
./build.sh > build/bench-build.log 2>&1 || { tail -20 build/bench-build.log; exit 1; }
if [ "${1:-}" = policy ]; then
    exec build/bin/bench "$@"
fi
exec python3 tools/local/bench.py "$@"
