#!/usr/bin/env bash
# Installs, builds and runs a whole local deployment on loopback, with a sample program; exits 0 when it worked.
# Usage: ./run.sh [--keep] [--base-port N]
set -euo pipefail
cd "$(dirname "$0")"
./build.sh
exec python3 tools/local/deployment.py "$@"
