#!/usr/bin/env bash
# Builds and runs every test program. Usage: ./test.sh [CTEST_OPTION...]
set -euo pipefail
cd "$(dirname "$0")"
./build.sh
exec ctest --test-dir build --output-on-failure -j 4 "$@"
