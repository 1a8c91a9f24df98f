#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../lib
python3 -c "import common, consul, site_resp, ast; ast.parse(open('case.py').read())" || exit 2
exec python3 case.py
