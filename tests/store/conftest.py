"""Stores for the tests: the HTTP stand-in and the in-memory fake."""

from collections.abc import Iterator
from random import Random

import pytest

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.store import Store
from anvilthread.store.consul_store import ConsulStore
from standins.memory_store import MemoryStore
from standins.store import StoreServer
from standins.store_state import StoreLimits, StoreState

StoreAndState = tuple[Store, StoreState]


@pytest.fixture
def server() -> Iterator[StoreServer]:
    """A running HTTP stand-in."""
    running = StoreServer(
        listen=Address(host='127.0.0.1', port=0), clock=SystemClock(), seed=1
    )
    running.start()
    yield running
    running.stop()


@pytest.fixture
def consul(server: StoreServer) -> Iterator[ConsulStore]:
    """A client of the HTTP stand-in."""
    client = ConsulStore(url=server.url, clock=SystemClock(), timeout_ms=1000)
    yield client
    client.close()


@pytest.fixture(params=['consul', 'memory'])
def store_and_state(
    request: pytest.FixtureRequest, server: StoreServer, consul: ConsulStore
) -> StoreAndState:
    """Both implementations of the store, with the state behind them."""
    if request.param == 'consul':
        return consul, server.state
    clock = SystemClock()
    state = StoreState(clock=clock, random=Random(1), limits=StoreLimits())
    return MemoryStore(state=state, clock=clock), state
