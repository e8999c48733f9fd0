"""Check that a signal about the settings file ends no VM that starts."""

import asyncio
import signal

import pytest

from tests.fleet_builders import start_single_node, wait_until_ready


# Guards against a process that a SIGHUP ends since it comes before its handler
# is installed: signals and restarts come in series and overlap.
@pytest.mark.parametrize('after_s', [0.1, 0.2, 0.3])
async def test_hangup_at_start_ends_no_process(fleet, http, after_s):
    node = await start_single_node(fleet, engines=1, plain=1)
    await wait_until_ready([node], http)
    await node.stop(signal.SIGTERM)
    await node.start()
    await asyncio.sleep(after_s)
    node.process.send_signal(signal.SIGHUP)
    await wait_until_ready([node], http)
    assert node.process.returncode is None
