"""New weights wait for the turns of machines that are gone.

See ``claim.txt``. 21 machines, of which 18 are lost at once, without SIGTERM.
The operator names new weights four seconds later, with the store, the engines
and the other machines sound.
"""

import asyncio
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from review.lib_2.deployment import (  # noqa: E402
    KEY,
    ZONES,
    CaseError,
    ask,
    engine_options,
    run_case,
    sleep_until,
    wait_for,
)

LOAD_LIMIT_S = 11.0
# 1.5 x `version_ms`.
OUTDATED_S = 12.0
CALM_S = 4.0
MACHINES_PER_ZONE = 7
ENGINES = 6
# One machine of each zone is left.
SURVIVORS = ('frontend-plateau-5', 'frontend-hann-4', 'frontend-rufisque-5')


async def play(deployed, http, has_trouble):
    record = deployed.record
    for number in range(ENGINES):
        await deployed.add_engine(engine_options(number))
    deployed.configure(1, [KEY])
    for _ in range(MACHINES_PER_ZONE):
        for zone in ZONES:
            await deployed.add_machine(zone)
    await deployed.wait_until_ready(http)
    record.write(f'{len(deployed.machines)} machines are ready')
    await asyncio.sleep(3.0)

    deployed.name_version(2)
    record.write('version 2 is named')
    await wait_for(
        lambda: all(engine.version == 2 for engine in deployed.engines),
        'all engines have version 2',
        LOAD_LIMIT_S,
    )
    record.write('all engines have version 2')
    survivors = [
        machine for machine in deployed.machines if machine.name in SURVIVORS
    ]
    await asyncio.sleep(1.0)
    if has_trouble:
        for machine in deployed.machines:
            if machine not in survivors:
                machine.signal(signal.SIGKILL)
        record.write(
            f'{len(deployed.machines) - len(survivors)} machines are lost'
        )
    await asyncio.sleep(CALM_S)
    statuses = [await ask(http, m, f'calm-{m.name}', KEY) for m in survivors]
    record.write(f'the others answer {statuses}')
    if statuses != [200] * len(survivors):
        raise CaseError('the machines that are left do not serve')

    deployed.name_version(3)
    acked_s = time.monotonic()
    record.write('acknowledged: version 3 is named')
    versions = asyncio.create_task(watch_versions(deployed, acked_s))
    await send_requests(deployed, http, survivors, acked_s)
    outdated = [
        engine.options.id for engine in deployed.engines if engine.version < 3
    ]
    record.write(
        f'{time.monotonic() - acked_s:.3f} s after the ack the traffic ends; '
        f'{len(outdated)} of {len(deployed.engines)} engines have an older '
        'version'
    )
    versions.cancel()
    return len(outdated) > 1 and len(outdated) > len(deployed.engines) / 10


async def watch_versions(deployed, acked_s):
    known = None
    while True:
        versions = [engine.version for engine in deployed.engines]
        if versions != known:
            known = versions
            deployed.record.write(
                f'{time.monotonic() - acked_s:.3f} s: versions {versions}'
            )
        await asyncio.sleep(0.02)


async def send_requests(deployed, http, survivors, acked_s):
    """Send five requests a second to each machine that is left.

    The traffic ends half a second after ``OUTDATED_S``.
    """
    statuses = {}
    tasks = []
    number = 0
    end_s = acked_s + OUTDATED_S + 0.5
    while time.monotonic() < end_s:
        number += 1
        second = int(time.monotonic() - acked_s)
        for machine in survivors:
            tasks.append(
                asyncio.create_task(
                    count(
                        http,
                        machine,
                        f'{number:03}-{machine.name}',
                        statuses.setdefault(second, Counter()),
                    )
                )
            )
        await asyncio.sleep(0.2)
    await sleep_until(end_s)
    for second, counts in sorted(statuses.items()):
        deployed.record.write(
            f'sent in second {second} after the ack: statuses {dict(counts)}'
        )
    for task in tasks:
        task.cancel()


async def count(http, machine, attempt_id, counts):
    counts[await ask(http, machine, attempt_id, KEY)] += 1


run_case(
    Path(__file__).resolve().parent,
    play,
    # TROUBLE=0 plays the same without the disruption.
    has_trouble=os.environ.get('TROUBLE', '1') != '0',
)
