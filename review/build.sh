#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs, so that is only a check of their syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/*.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
