#!/bin/sh
# Prepare the stand-ins of the review. They are Python and need no compiler:
# this checks that they and the project's own ones load with the dependencies
# that the build of the deploy file has put into target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
import sys
sys.path.insert(0, "review")
import emulator.store
import lib.deployment
print("stand-ins load")
'
