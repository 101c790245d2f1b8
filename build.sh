#!/usr/bin/env bash
# Installs the packages the build needs, configures and builds everything into build/.
# Usage: ./build.sh [CMAKE_TARGET...]
set -euo pipefail
cd "$(dirname "$0")"
.ci/install
# The compiler cache then serves every checkout of this repository on the machine, whatever its folder.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
if [ ! -f build/build.ninja ]; then
    cmake -S . -B build -G Ninja > build.log 2>&1 || { cat build.log; exit 1; }
    mv build.log build/configure.log
fi
cmake --build build ${1:+--target "$@"}
