#!/usr/bin/env bash
# Builds what the scripts of the second review start: their stand-ins are one
# module that uses the standard library only. The entry daemon and its
# libraries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

for name in ["rig2.py", *sorted(map(str, pathlib.Path().glob("*/run.py")))]:
    ast.parse(pathlib.Path(name).read_text(), name)
if sys.version_info < (3, 11):
    sys.exit("the scripts need Python 3.11")
if not pathlib.Path("../target/deps/waitress").is_dir():
    sys.exit("run the build of deploy/system.toml first")
CHECK
