"""Share a running cluster and a client session between tests."""

from collections.abc import AsyncIterator, Iterator

import aiohttp
import pytest

from emulator.cluster import Cluster, running_cluster
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
