#!/bin/bash
# Plays the case: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B case.py
