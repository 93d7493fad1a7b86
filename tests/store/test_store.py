"""Contract of the store, for both of its implementations."""

from copy import copy
from random import Random

import gevent
import pytest
import urllib3
from result import Err

from anvilthread.clock import ManualClock, SystemClock
from anvilthread.store import (
    CallKind,
    Fence,
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
    StoreUnavailable,
    WriteGuard,
)
from anvilthread.store.consul_store import ConsulStore
from standins.memory_store import MemoryStore
from standins.store import StoreServer
from standins.store_state import StoreFaults, StoreLimits, StoreState

_KEY = 'anvilthread/configuration'
_TTL_MS = 10_000


def test_only_one_of_two_writers_wins(
    store_and_state: tuple[Store, StoreState],
) -> None:
    """Guards against a writer that overwrites what it has not read."""
    store, _ = store_and_state
    assert store.get(_KEY).unwrap().value is None
    assert store.put(_KEY, b'one', 0).is_ok()
    assert isinstance(store.put(_KEY, b'two', 0).unwrap_err(), StoreConflict)
    snapshot = store.get(_KEY).unwrap()
    assert snapshot.value == b'one'
    assert store.put(_KEY, b'three', snapshot.revision).is_ok()
    assert store.get(_KEY).unwrap().value == b'three'


@pytest.mark.parametrize('is_restored', [False, True])
def test_guarded_write_needs_the_content_that_was_read(
    store_and_state: tuple[Store, StoreState], is_restored: bool
) -> None:
    """Guards against a write over content that got the same revision.

    Pattern: the store comes back from an older copy, and another writer is
    first after that.
    """
    store, state = store_and_state
    one, two, three = (
        WriteGuard(replaced='', created=f'{_KEY}/{name}') for name in 'abc'
    )
    copy = state.save_copy()
    assert store.put(_KEY, b'one', 0, one).is_ok()
    read = store.get(_KEY).unwrap()
    if is_restored:
        state.restore_copy(copy)
        assert store.put(_KEY, b'two', 0, two).is_ok()
        assert store.get(_KEY).unwrap().revision == read.revision
    replacing = WriteGuard(replaced=one.created, created=three.created)
    written = store.put(_KEY, b'three', read.revision, replacing)
    if is_restored:
        assert isinstance(written.unwrap_err(), StoreConflict)
        assert store.get(_KEY).unwrap().value == b'two'
        return
    assert written.is_ok()
    assert store.get(_KEY).unwrap().value == b'three'
    assert store.get(one.created).unwrap().value is None
    assert store.get(three.created).unwrap().value == b''
    again = store.put(_KEY, b'four', read.revision, replacing)
    assert isinstance(again.unwrap_err(), StoreConflict)


@pytest.mark.parametrize(
    ('faults', 'value', 'expected', 'written'),
    [
        (StoreFaults(lost_answers=1), b'x', StoreAnswerLost, b'x'),
        (StoreFaults(lost_requests=1), b'x', StoreAnswerLost, None),
        (StoreFaults(), bytes(2 * 1024 * 1024), StoreRefused, None),
    ],
)
def test_failed_writes_are_distinguished(
    store_and_state: tuple[Store, StoreState],
    faults: StoreFaults,
    value: bytes,
    expected: type[StoreError],
    written: bytes | None,
) -> None:
    """Guards against reporting a write as failed although it took effect."""
    store, state = store_and_state
    state.faults = copy(faults)
    outcome = store.put(_KEY, value, 0)
    state.faults = StoreFaults()
    assert isinstance(outcome.unwrap_err(), expected)
    assert store.get(_KEY).unwrap().value == written


def test_watch_returns_on_change_and_at_its_limit(
    store_and_state: tuple[Store, StoreState],
) -> None:
    """Guards against a watch that polls, misses a change or never ends."""
    store, state = store_and_state
    store.put(_KEY, b'one', 0)
    first = store.get(_KEY).unwrap()
    assert store.watch(_KEY, first.index, 50).unwrap() == first
    task = gevent.spawn(store.watch, _KEY, first.index, 20_000)
    gevent.sleep(0.05)
    assert not task.ready()
    state.compare_and_set(_KEY, b'two', first.revision)
    assert task.get(timeout=10).unwrap().value == b'two'
    assert state.total(CallKind.WATCH) == 2
    assert store.counts.number(CallKind.WATCH) == 2


def test_lapsed_lease_of_a_paused_holder(
    store_and_state: tuple[Store, StoreState],
) -> None:
    """Guards against two holders that both act, one of them late."""
    store, state = store_and_state
    paused = store.acquire('lease', _TTL_MS).unwrap()
    taken = store.acquire('lease', _TTL_MS)
    assert isinstance(taken.unwrap_err(), StoreConflict)
    state.destroy_session(paused.session)
    holder = store.acquire('lease', _TTL_MS).unwrap()
    renewed = store.renew(paused)
    assert isinstance(renewed.unwrap_err(), StoreConflict)
    assert holder.fencing > paused.fencing
    fence = Fence()
    assert fence.admits(holder.fencing)
    assert not fence.admits(paused.fencing)
    assert store.release(holder).is_ok()
    assert store.acquire('lease', _TTL_MS).is_ok()


def test_fencing_numbers_rise_across_a_restore(
    store_and_state: tuple[Store, StoreState],
) -> None:
    """Guards against a former holder that acts beside the present one."""
    store, state = store_and_state
    copy = state.save_copy()
    lost = store.acquire('lease', _TTL_MS).unwrap()
    # A restore takes far longer than the resolution of the time of day.
    gevent.sleep(0.01)
    state.restore_copy(copy)
    holder = store.acquire('lease', _TTL_MS).unwrap()
    fence = Fence()
    assert fence.admits(lost.fencing)
    assert fence.admits(holder.fencing)
    assert not fence.admits(lost.fencing)


class _SteppedClock(ManualClock):
    """A clock whose time of day can be stepped."""

    __slots__ = ('offset_ms',)

    def __init__(self) -> None:
        super().__init__(start_ms=10)
        self.offset_ms = 0

    def wall_ms(self) -> int:
        """Time of day."""
        return super().wall_ms() + self.offset_ms


@pytest.mark.parametrize('step_ms', [0, 3_600_000, -3_600_000])
def test_fencing_numbers_rise_when_clocks_jump(step_ms: int) -> None:
    """Guards against a holder that is refused since its clock is behind."""
    clock = _SteppedClock()
    state = StoreState(clock=clock, random=Random(1), limits=StoreLimits())
    store = MemoryStore(state=state, clock=clock)
    numbers = []
    for _ in range(3):
        lease = store.acquire('lease', _TTL_MS).unwrap()
        numbers.append(lease.fencing)
        assert store.release(lease).is_ok()
        clock.offset_ms += step_ms
    assert numbers == sorted(set(numbers))


@pytest.mark.parametrize('value', [b'', b'x', b'-1', b'9' * 5000])
def test_malformed_fencing_counter_is_an_error(
    store_and_state: tuple[Store, StoreState], value: bytes
) -> None:
    """Guards against a crash on a counter that something else has written."""
    store, state = store_and_state
    state.restore('lease/fencing', value)
    outcome = store.acquire('lease', _TTL_MS)
    assert isinstance(outcome.unwrap_err(), StoreUnavailable)


def test_lease_lapses_after_its_ttl(
    store_and_state: tuple[Store, StoreState],
) -> None:
    """Guards against a holder that relies on its lease after a freeze."""
    store, _ = store_and_state
    start_ms = SystemClock().now_ms()
    lease = store.acquire('lease', _TTL_MS).unwrap()
    clock = ManualClock(start_ms=start_ms)
    assert not lease.has_lapsed(clock)
    clock.skip(2 * _TTL_MS)
    assert lease.has_lapsed(clock)


def test_outage_and_older_answers(
    store_and_state: tuple[Store, StoreState],
) -> None:
    """Guards against injected faults of the stand-in that have no effect."""
    store, state = store_and_state
    store.put(_KEY, b'one', 0)
    revision = store.get(_KEY).unwrap().revision
    store.put(_KEY, b'two', revision)
    state.faults.older_by = 1
    assert store.get(_KEY).unwrap().value == b'one'
    state.faults.outage = True
    assert isinstance(store.get(_KEY).unwrap_err(), StoreUnavailable)
    assert store.put(_KEY, b'three', revision).is_err()
    assert store.watch(_KEY, 1, 100).is_err()


def test_rates_are_enforced() -> None:
    """Guards against a stand-in that allows more than the platform."""
    clock = ManualClock()
    limits = StoreLimits(writes=2, reads=3, watches=1)
    state = StoreState(clock=clock, random=Random(1), limits=limits)
    kinds = (CallKind.WRITE, CallKind.LEASE, CallKind.READ, CallKind.WATCH)
    admitted = [state.admit(kind) for kind in kinds * 2]
    assert admitted == [True, True, True, True, False, False, True, False]
    clock.advance(1000)
    assert state.admit(CallKind.WRITE)
    state.waiting = 1
    assert not state.admit(CallKind.WATCH)
    assert state.peak(CallKind.READ, CallKind.WATCH) == 4


def test_call_over_the_rate_had_no_effect(
    server: StoreServer, consul: ConsulStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reporting a refused call as one that may have run."""
    monkeypatch.setattr(server.state, 'admit', lambda kind: False)
    refused = consul.put(_KEY, b'x', 0)
    assert isinstance(refused.unwrap_err(), StoreUnavailable)


def test_lease_of_a_paused_holder_can_be_acquired() -> None:
    """Guards against a lease that a paused holder keeps for ever."""
    clock = ManualClock()
    state = StoreState(clock=clock, random=Random(1), limits=StoreLimits())
    one, two = (MemoryStore(state=state, clock=clock) for _ in range(2))
    paused = one.acquire('lease', _TTL_MS).unwrap()
    clock.skip(_TTL_MS - 1)
    assert two.acquire('lease', _TTL_MS).is_err()
    clock.skip(1)
    assert two.acquire('lease', _TTL_MS).unwrap().fencing > paused.fencing
    assert paused.has_lapsed(clock)
    assert one.renew(paused).is_err()


def test_slow_calls_do_not_block_other_tasks(
    server: StoreServer, consul: ConsulStore
) -> None:
    """Guards against a client that blocks the thread shared by all tasks."""
    server.state.faults.delay_ms = 300
    call = gevent.spawn(consul.get, _KEY)
    steps = 0
    while not call.ready():
        gevent.sleep(0.01)
        steps += 1
    assert call.value.is_ok()
    assert steps > 5


@pytest.mark.parametrize('method', ['get', 'put', 'watch'])
def test_unreachable_store(method: str) -> None:
    """Guards against reporting an unreachable store as a lost answer."""
    store = ConsulStore(url='http://127.0.0.1:1', clock=SystemClock())
    arguments = {'get': (), 'put': (b'x', 0), 'watch': (1, 10)}[method]
    outcome = getattr(store, method)(_KEY, *arguments)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, StoreUnavailable)


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{}', b'[{"ModifyIndex": "x"}]', b'\xff', b'null']
)
def test_malformed_answers_are_errors(
    body: bytes,
    server: StoreServer,
    consul: ConsulStore,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a crash on an answer that is not from the store."""
    monkeypatch.setattr('standins.store._entry', lambda key, stored: body)
    server.state.restore(_KEY, b'x')
    assert isinstance(consul.get(_KEY).unwrap_err(), StoreUnavailable)
    monkeypatch.setattr(
        server.state, 'compare_and_set', lambda *rest: body.hex()
    )
    outcome = consul.put(_KEY, b'x', 0)
    assert isinstance(outcome.unwrap_err(), StoreAnswerLost)


def test_faults_are_switched_by_url(
    server: StoreServer, consul: ConsulStore
) -> None:
    """Guards against a demo whose faults never reach the store."""
    control = f'{server.url}/control/faults'
    task = gevent.get_hub().threadpool.spawn(
        urllib3.request, 'PUT', control, json={'outage': True}
    )
    assert task.get(timeout=10).status == 200
    assert isinstance(consul.get(_KEY).unwrap_err(), StoreUnavailable)
