#!/bin/sh
# Builds the stand-ins: they are Python programs without dependencies.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q .
