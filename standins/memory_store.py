"""An in-memory store for tests on virtual time."""

from collections.abc import Callable
from functools import partial
from typing import Final, TypeVar

from result import Err, Ok, Result

from anvilthread.clock import Clock
from anvilthread.store import (
    CallCounts,
    CallKind,
    Lease,
    Snapshot,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
    StoreUnavailable,
    WriteGuard,
)
from anvilthread.store.fencing_counter import FencingCounter
from standins.store_state import MAX_VALUE_BYTES, StoredValue, StoreState

_Answer = TypeVar('_Answer')

#: Time after which a client abandons an unanswered call.
_CALL_TIMEOUT_MS: Final = 2000


class MemoryStore:
    """A client of a store state that all clients share, with its faults.

    Args:
        state: The shared state.
        clock: Clock of delays and leases.
    """

    def __init__(self, *, state: StoreState, clock: Clock) -> None:
        self._state = state
        self._clock = clock
        self._counts = CallCounts()
        self._fencing = FencingCounter(store=self, clock=clock)
        self.reachable = True

    @property
    def counts(self) -> CallCounts:
        """Calls made so far."""
        return self._counts

    def get(self, key: str) -> Result[Snapshot, StoreError]:
        """Reads a key."""
        failure = self._start_call(CallKind.READ)
        return failure or Ok(_snapshot(self._state.read(key)))

    def put(
        self,
        key: str,
        value: bytes,
        revision: int,
        guard: WriteGuard | None = None,
    ) -> Result[None, StoreError]:
        """Writes a key if it is still at a revision."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(
                StoreRefused(reason='value too large', remedy='shorten it')
            )
        change = partial(self._state.compare_and_set, key, value, revision)
        if guard is not None:
            change = partial(self._state.commit, key, value, revision, guard)
        return self._write(CallKind.WRITE, key, lambda: change() or None).map(
            lambda done: None
        )

    def watch(
        self, key: str, index: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Reads a key once it has changed."""
        failure = self._start_call(CallKind.WATCH)
        if failure is None and index:
            snapshot = _snapshot(self._state.wait(key, index, wait_ms))
            failure = self._check_reachable()
            return failure or Ok(snapshot)
        return failure or Ok(_snapshot(self._state.read(key)))

    def acquire(self, name: str, ttl_ms: int) -> Result[Lease, StoreError]:
        """Acquires a lease."""
        expires_ms = self._clock.now_ms() + ttl_ms
        session = self._write(
            CallKind.LEASE, name, lambda: self._state.create_session(ttl_ms)
        )
        if isinstance(session, Err):
            return session
        holder = session.ok_value
        locked = self._write(
            CallKind.LEASE,
            name,
            lambda: self._state.lock(name, b'', holder) or None,
        )
        return locked.and_then(lambda done: self._fencing.advance(name)).map(
            lambda number: Lease(
                name=name,
                session=holder,
                fencing=number,
                ttl_ms=ttl_ms,
                expires_ms=expires_ms,
            )
        )

    def renew(self, lease: Lease) -> Result[Lease, StoreError]:
        """Extends a lease."""
        expires_ms = self._clock.now_ms() + lease.ttl_ms
        renewed = self._write(
            CallKind.LEASE,
            lease.name,
            lambda: self._state.renew_session(lease.session) or None,
        )
        return renewed.map(
            lambda done: Lease(
                name=lease.name,
                session=lease.session,
                fencing=lease.fencing,
                ttl_ms=lease.ttl_ms,
                expires_ms=expires_ms,
            )
        )

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Releases a lease."""
        failure = self._start_call(CallKind.LEASE)
        if failure is None:
            self._state.destroy_session(lease.session)
        return failure or Ok(None)

    def _write(
        self, kind: CallKind, key: str, change: Callable[[], _Answer | None]
    ) -> Result[_Answer, StoreError]:
        failure = self._start_call(kind)
        if failure is not None:
            return failure
        faults = self._state.faults
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            return self._lose_answer()
        answer = change()
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            return self._lose_answer()
        return Err(StoreConflict(key=key)) if answer is None else Ok(answer)

    def _lose_answer(self) -> Err[StoreError]:
        self._clock.sleep_ms(_CALL_TIMEOUT_MS)
        return Err(StoreAnswerLost(reason='timeout'))

    def _start_call(self, kind: CallKind) -> Err[StoreError] | None:
        self._counts.count(kind)
        failure = self._check_reachable()
        if failure is not None:
            return failure
        if not self._state.admit(kind):
            return Err(StoreUnavailable(reason='rate limit'))
        if self._state.faults.delay_ms:
            self._clock.sleep_ms(self._state.faults.delay_ms)
        return self._check_reachable()

    def _check_reachable(self) -> Err[StoreError] | None:
        if self.reachable and not self._state.faults.outage:
            return None
        return Err(StoreUnavailable(reason='outage'))


def _snapshot(stored: StoredValue) -> Snapshot:
    return Snapshot(
        value=stored.value if stored.exists else None,
        revision=stored.index,
        index=max(stored.index, 1),
    )
