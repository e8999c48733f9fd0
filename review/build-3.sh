#!/bin/sh
# Checks that the stand-ins of the cases start, after the build of the deploy
# file: they are Python of this repository and need nothing that is built.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
PYTHONPATH="target/deps:src:review:." PYTHONDONTWRITEBYTECODE=1 python3 -c '
import emulator.fleet, emulator.fleet_engine, emulator.store
import review.lib_2.deployment
from lib_3 import deployment
'
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import ast, pathlib
for path in pathlib.Path("review/lib_3").glob("*.py"):
    ast.parse(path.read_text(), str(path))
'
echo 'stand-ins of the third review: ready'
