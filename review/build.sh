#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs; this only checks that they can be read. Run it from anywhere, after
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'END'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("ok", path)
END
