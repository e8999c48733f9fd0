#!/bin/sh
# Build what the scripts of the second review start, after the build of the
# deploy file. The stand-ins are Python modules: the store and the engines of
# emulator/ and what review/lib_2/ adds. They are compiled into target/, to show
# that they are whole, and imported once.
cd "$(dirname "$0")/.." || exit 1
for folder in emulator src review/lib_2 review/6 review/7 review/8 review/9 \
    review/10; do
    [ -d "$folder" ] || continue
    PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q "$folder" \
        || exit 1
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:src:." python3 -c '
import emulator.fleet_engine
import emulator.store
import review.lib_2.deployment
'
