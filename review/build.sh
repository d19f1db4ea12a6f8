#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. They are Python programs of review/lib that need the
# standard library only, so that nothing is compiled; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -c 'import sys; sys.dont_write_bytecode = True; sys.path.insert(0, "lib"); import standins'
