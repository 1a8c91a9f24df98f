#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout --kill-after=1 118 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
