#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They are Python programs of this folder and need no
# compiler: the syntax is checked, and that the interpreter has what they use.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py 6/*.py 8/*.py 9/*.py <<'CHECK'
import ast
import asyncio
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
