#!/usr/bin/env python3
"""Checks the layers of the C++ sources.

No file includes one from a higher layer, only platform/ uses names of the users' platform, and each
include guard follows the path of its file.
"""

import pathlib
import re
import subprocess
import sys

LAYERS = ["core", "servers", "drivers", "modules", "platform", "node", "cli", "main", "tests"]
# Modules and drivers both depend on the abstract servers, not on each other.
FORBIDDEN = {("modules", "drivers"), ("drivers", "modules")}
# Names of the users' platform, which only platform/ may use. Scripts and the deploy folder are not
# checked.
PLATFORM_NAMES = re.compile(
    r"(?<![\w-])Deadline-Ms|Target-Instance|Caller-Service|Not-Executed|Server-Seal|Server-Load|"
    r"Instance-Id|Cold-Ms|keyed\.|/-/|pathPrefix|trafficSplit|routeType|coldRemainingS|"
    r"targetVersion\"|heartbeatAddr|in_progress|rolled_back|non_idempotent|sidecar|Api-Key|(?<![\w-])Tenant|apiKeys|Duty-Holder|Fencing-Token|Store-Era|\"/usage|\"usage_report\"")
INCLUDE = re.compile(r'^#include "([a-z_]+)/', re.MULTILINE)


def problems_of(path: pathlib.Path) -> list[str]:
    text = path.read_text()
    # Tests in a tests/ folder of any layer belong to the top layer.
    layer = "tests" if "tests" in path.parts else path.parts[0]
    found = []
    for target in INCLUDE.findall(text):
        if target not in LAYERS:
            found.append(f"{path}: includes from unknown folder {target}")
        elif LAYERS.index(target) > LAYERS.index(layer) or (layer, target) in FORBIDDEN:
            found.append(f"{path}: layer {layer} includes from {target}")
    if "platform" not in path.parts:
        found += [f"{path}: names the users' platform: {name}"
                  for name in sorted(set(PLATFORM_NAMES.findall(text)))]
    guard = re.sub(r"[/.]", "_", str(path)).upper()
    if path.suffix == ".h" and f"#ifndef {guard}\n#define {guard}\n" not in text:
        found.append(f"{path}: the include guard must be {guard}")
    return found


def main() -> int:
    listed = subprocess.run(["git", "ls-files", "*.h", "*.cpp"], capture_output=True, text=True,
                            check=True).stdout.split()
    problems = [problem for name in listed for problem in problems_of(pathlib.Path(name))]
    print("\n".join(problems) if problems else f"layers: {len(listed)} files are valid")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
