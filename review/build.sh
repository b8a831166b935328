#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies. This checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/standins.py */case.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
