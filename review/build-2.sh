#!/bin/bash
# Prepares the stand-ins of the cases 6 to 10: they are Python programs of the standard library, so there is nothing to compile. Checks that the
# interpreter reads them, and that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - stand-ins-2/*.py [0-9]*/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
[ -x ../target/release/snowfield ] || { echo "target/release/snowfield is missing: run the build of the deploy file first" >&2; exit 1; }
