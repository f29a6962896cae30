#!/usr/bin/env bash
# Shows the case of claim.txt; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")"
PYTHONPATH=.. exec python3 run.py
