#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python scripts, which need no building: checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - stage_3.py 1[1-5]/case.py <<'PY'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
PY
