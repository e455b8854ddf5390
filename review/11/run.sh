#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if it could not run.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
