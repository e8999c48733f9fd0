"""Share a running cluster and a client session between tests."""

from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp
import pytest

from emulator.cluster import Cluster, running_cluster
from emulator.fleet import Fleet, running_fleet
from tests.builders import build_options


@pytest.fixture(scope='module')
def cluster() -> Iterator[Cluster]:
    """Return a running cluster that the module's tests share."""
    with running_cluster(build_options()) as running:
        yield running


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    """Return a client session that reuses no connection."""
    connector = aiohttp.TCPConnector(force_close=True, limit=0)
    async with aiohttp.ClientSession(connector=connector) as opened:
        yield opened


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """Return a deployment of the users' platform without engines and VMs."""
    async with running_fleet(tmp_path) as opened:
        yield opened


@pytest.fixture
async def http(
    session: aiohttp.ClientSession,
) -> aiohttp.ClientSession:
    """Return the client session under the name that fleet tests use."""
    return session
