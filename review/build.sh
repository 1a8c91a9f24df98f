#!/bin/sh
# Builds what the cases start beside the program of the deploy file. The stand-ins are Python files without a package,
# so there is nothing to compile: this checks that they load.
set -e
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
test -x target/release/snowfield
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/lib python3 -c "
import sys
assert sys.version_info >= (3, 11), 'the cases need Python 3.11'
import common, consul, site_resp
"
