"""Processes whose store comes back from an older copy."""

import time
from collections.abc import Callable, Iterator

import gevent
import pytest

from soak.cluster import SoakCluster

_NODES = 'anvilthread/nodes/'

#: Nodes register 3 to 6 s after their start.
_REGISTERED_WITHIN_S = 20.0

#: Far more than the 2 s that entries may be missing, since a busy machine
#: delays processes; test_discovery.py holds the bound in virtual time.
_BACK_WITHIN_S = 8.0


@pytest.fixture
def cluster() -> Iterator[SoakCluster]:
    """Two balancers and two agents."""
    started = SoakCluster(seed=26, balancers=2, agents=1)
    started.start()
    yield started
    started.stop()


def _wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    deadline_s = time.monotonic() + timeout_s
    while not condition() and time.monotonic() < deadline_s:
        gevent.sleep(0.05)
    return condition()


def test_entries_of_nodes_return_after_a_restore(cluster: SoakCluster) -> None:
    """Guards against nodes that nobody finds after the store was restored."""
    entries = sorted(f'{_NODES}{host}' for host in cluster.hosts)
    copy = cluster.store.save_copy()
    assert not cluster.store.keys(_NODES)

    def is_complete() -> bool:
        return cluster.store.keys(_NODES) == entries

    assert _wait_until(is_complete, _REGISTERED_WITHIN_S)
    for _ in range(2):
        cluster.store.restore_copy(copy)
        assert _wait_until(is_complete, _BACK_WITHIN_S)
