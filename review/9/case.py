"""A tenant that becomes isolated goes on to share what was cached before.

See ``claim.txt``. Tenant sese880 asks, becomes isolated by configuration 5, and
then tenant tola114 asks with the same shared parts. What the engines keep is
worked out from the requests that they ran, as PROTOCOL.md says: parts are kept
under ``Cache-Salt`` and the model, and a part that is kept is used if all parts
before it are.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.lib_2.deployment import (  # noqa: E402
    ZONES,
    CaseError,
    ask,
    build_configuration,
    engine_options,
    run_case,
)

FIRST = 'sese880'
SECOND = 'tola114'
KEYS = {FIRST: 'ctnfzs989anu6wsjnban', SECOND: 'bq7kzc204tnu1rvdmnpe'}
SHARED_PARTS = '5c1e07a2:800,91bd3f06:410'
CONFIG_APPLY_S = 2.0
ENGINES = 3
REQUESTS = 12


def configuration(version, isolated):
    """Return a configuration in which the tenants ``isolated`` are so."""
    document = build_configuration(version, [])
    document['tenants'] = [
        {'name': name, 'api_keys': [key], 'isolated': name in isolated}
        for name, key in KEYS.items()
    ]
    return document


async def play(deployed, http, has_trouble):
    record = deployed.record
    for number in range(ENGINES):
        await deployed.add_engine(engine_options(number))
    store = deployed.store
    store.append_document('keyed.op', 'config', configuration(1, ()))
    for zone in ZONES:
        await deployed.add_machine(zone)
    await deployed.wait_until_ready(http)
    await asyncio.sleep(3.0)

    isolated = set()
    await ask_all(deployed, http, FIRST, 'before')
    if has_trouble:
        store.append_document('keyed.op', 'config', configuration(5, (FIRST,)))
        isolated.add(FIRST)
        record.write(f'acknowledged: configuration 5, {FIRST} is isolated')
    acked_s = time.monotonic()
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    await ask_all(deployed, http, SECOND, 'after')
    await ask_all(deployed, http, FIRST, 'after')
    broken = find_shared(deployed, isolated, acked_s + CONFIG_APPLY_S)
    for line in broken:
        record.write(line)
    return bool(broken)


async def ask_all(deployed, http, tenant, when):
    """Send requests of a tenant, each with a last part of its own."""
    for number in range(REQUESTS):
        machine = deployed.machines[number % len(deployed.machines)]
        attempt_id = f'{when}-{tenant}-{number}'
        status = await ask(
            http,
            machine,
            attempt_id,
            KEYS[tenant],
            prefix=f'{SHARED_PARTS},{len(when)}{number:06x}{ord(tenant[0]):x}:250',
        )
        deployed.record.write(f'{attempt_id} to {machine.name}: {status}')
        if status != 200:
            raise CaseError('a request was not served')


def find_shared(deployed, isolated, from_s):
    """Return the uses of parts across a wall, by requests after ``from_s``."""
    broken = []
    for engine in deployed.engines:
        makers = {}
        for run in sorted(engine.executions, key=lambda known: known.began_s):
            tenant = run.headers['Tenant']
            salt = run.headers.get('Cache-Salt', '')
            entries = run.headers['Prompt-Prefix'].split(',')
            deployed.record.write(
                f'{engine.options.id} ran {run.attempt_id}: tenant {tenant}, '
                f'salt {salt!r}'
            )
            is_kept = True
            for entry in entries:
                part = (salt, run.headers['Model'], entry.partition(':')[0])
                is_kept = is_kept and part in makers
                if not is_kept:
                    makers[part] = tenant
                    continue
                maker = makers[part]
                if (
                    maker != tenant
                    and {maker, tenant} & isolated
                    and run.began_s > from_s
                ):
                    broken.append(
                        f'WALL: {run.attempt_id} of {tenant} used part '
                        f'{part[2]} that a request of {maker} made at '
                        f'{engine.options.id}'
                    )
    return broken


run_case(
    Path(__file__).resolve().parent,
    play,
    # TROUBLE=0 plays the same without the disruption.
    has_trouble=os.environ.get('TROUBLE', '1') != '0',
)
