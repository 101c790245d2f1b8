#!/usr/bin/env bash
# The scripts of review/6 and later need the two programs of the deploy file, and Python 3.11 with its own library. Their
# stand-ins are in stage_2.py and the cases' folders; this only checks that all of it can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in stage_2.py {6,7,8,9,10}/case.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
    fi
done
python3 -c 'import tomllib'
