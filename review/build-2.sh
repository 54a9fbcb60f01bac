#!/usr/bin/env bash
# Prepares what the scripts of the second review start, after the build of the deploy file. Their
# stand-ins are Python programs, so nothing is compiled; this checks that they are complete.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [0-9]*/case_2.py <<'PYTHON'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
test -x ../target/jacinthshift || { echo "target/jacinthshift is not built"; exit 2; }
