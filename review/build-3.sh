#!/usr/bin/env bash
# Builds what the scripts review/11 to 15 start beside the daemons: the
# stand-ins are Python modules that run with the packages of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/rig3.py packages/samphirepost-bench/src
python3 -c 'import sys; sys.path.insert(0, "review"); import rig3'
