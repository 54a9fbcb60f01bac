#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs, so this only checks
# that each one compiles.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [0-9]*/case_2.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
