"""State and rules of the store stand-in, without any network."""

from collections import Counter
from contextlib import ExitStack
from random import Random
from typing import Final

from gevent.event import Event
from msgspec import Struct

from anvilthread.clock import Clock
from anvilthread.store import CallKind, WriteGuard

#: Largest value that the store accepts.
MAX_VALUE_BYTES: Final = 1024 * 1024

_MAX_VERSIONS: Final = 64
_MS_PER_SECOND: Final = 1000


class StoreFaults(Struct, kw_only=True):
    """Faults that can be switched on while the store runs.

    Attributes:
        outage: Every call fails without effect.
        delay_ms: Time before a call is answered.
        lost_answers: Number of following writes that take effect, but whose
            answers are lost.
        lost_requests: Number of following writes that are lost themselves,
            and thus not answered.
        older_by: Number of versions by which reads are stale.
    """

    outage: bool = False
    delay_ms: int = 0
    lost_answers: int = 0
    lost_requests: int = 0
    older_by: int = 0


class StoreLimits(Struct, kw_only=True):
    """Calls per second, and number of concurrent watches."""

    writes: int = 400
    reads: int = 2000
    watches: int = 1000


class StoredValue(Struct, frozen=True, kw_only=True):
    """One version of one key."""

    value: bytes = b''
    index: int = 0
    lock_index: int = 0
    session: str | None = None

    @property
    def exists(self) -> bool:
        """Whether the key has been written."""
        return self.index > 0


class StoreCopy(Struct, frozen=True, kw_only=True):
    """Contents of the store at one time, to restore them later.

    Attributes:
        index: Index of the latest write.
        versions: Versions of each key.
        sessions: Time to live and time of expiry of each session.
    """

    index: int
    versions: dict[str, list[StoredValue]]
    sessions: dict[str, tuple[int, int]]


class StoreState:
    """Keys and sessions, with rate limits and faults.

    Args:
        clock: Clock of sessions and rate limits.
        random: Source of the session IDs.
        limits: Limits beyond which calls are refused.
    """

    def __init__(
        self, *, clock: Clock, random: Random, limits: StoreLimits
    ) -> None:
        self._clock = clock
        self._random = random
        self._limits = limits
        # A watch of a missing key starts at 1, below the first write.
        self._index = 1
        self._versions: dict[str, list[StoredValue]] = {}
        self._sessions: dict[str, tuple[int, int]] = {}
        self._changed = Event()
        self.faults = StoreFaults()
        self.waiting = 0
        #: Calls by kind and second.
        self.calls: Counter[tuple[CallKind, int]] = Counter()

    def admit(self, kind: CallKind) -> bool:
        """Counts a call; returns False if it exceeds the limits."""
        second = self._clock.now_ms() // _MS_PER_SECOND
        self.calls[kind, second] += 1
        writes = self._calls_in_second(second, CallKind.WRITE, CallKind.LEASE)
        reads = self._calls_in_second(second, CallKind.READ, CallKind.WATCH)
        if kind in {CallKind.WRITE, CallKind.LEASE}:
            return writes <= self._limits.writes
        too_many = self.waiting >= self._limits.watches
        if kind is CallKind.WATCH and too_many:
            return False
        return reads <= self._limits.reads

    def peak(self, *kinds: CallKind) -> int:
        """Returns the most calls of these kinds in one second."""
        seconds = {second for _, second in self.calls}
        return max(
            (self._calls_in_second(one, *kinds) for one in seconds), default=0
        )

    def total(self, *kinds: CallKind) -> int:
        """Returns all calls of these kinds."""
        return sum(
            number for (kind, _), number in self.calls.items() if kind in kinds
        )

    def read(self, key: str) -> StoredValue:
        """Returns a key, or an older version if that fault is on."""
        self._expire()
        versions = self._versions.get(key, [StoredValue()])
        return versions[max(len(versions) - 1 - self.faults.older_by, 0)]

    def wait(self, key: str, index: int, wait_ms: int) -> StoredValue:
        """Returns a key once it is newer than an index."""
        deadline_ms = self._clock.now_ms() + wait_ms
        remaining_ms = wait_ms
        with ExitStack() as stack:
            self.waiting += 1
            stack.callback(self._remove_waiter)
            while remaining_ms > 0 and self.read(key).index <= index:
                self._clock.wait(self._changed, remaining_ms)
                remaining_ms = deadline_ms - self._clock.now_ms()
        return self.read(key)

    def compare_and_set(self, key: str, value: bytes, index: int) -> bool:
        """Writes a key if the index of its latest version matches."""
        latest = self._latest(key)
        if latest.index != index:
            return False
        self._write(key, value, latest.lock_index, latest.session)
        return True

    def commit(
        self, key: str, value: bytes, index: int, guard: WriteGuard
    ) -> bool:
        """Writes a key and its guard if both are still at an index."""
        if self._latest(key).index != index:
            return False
        if guard.replaced and self._latest(guard.replaced).index != index:
            return False
        self._index += 1
        if guard.replaced:
            self._append(guard.replaced, StoredValue())
        self._append(guard.created, StoredValue(index=self._index))
        self._append(key, StoredValue(value=value, index=self._index))
        self._changed.set()
        self._changed = Event()
        return True

    def restore(self, key: str, value: bytes) -> None:
        """Overwrites a key, as restoring a backup does."""
        self._write(key, value, 0, None)

    def save_copy(self) -> StoreCopy:
        """Returns a copy of the whole state."""
        versions = {key: list(kept) for key, kept in self._versions.items()}
        return StoreCopy(
            index=self._index,
            versions=versions,
            sessions=dict(self._sessions),
        )

    def restore_copy(self, copy: StoreCopy) -> None:
        """Replaces the whole state by a copy.

        What was written since is gone, and its indexes are given out again.
        """
        self._index = copy.index
        self._versions = {
            key: list(kept) for key, kept in copy.versions.items()
        }
        self._sessions = dict(copy.sessions)
        self._changed.set()
        self._changed = Event()

    def create_session(self, ttl_ms: int) -> str:
        """Opens a session and returns its ID."""
        session = f'{self._random.getrandbits(64):016x}'
        expires_ms = self._clock.now_ms() + ttl_ms
        self._sessions[session] = (ttl_ms, expires_ms)
        return session

    def renew_session(self, session: str) -> bool:
        """Renews a session; returns False if it has ended."""
        self._expire()
        if session not in self._sessions:
            return False
        ttl_ms, _ = self._sessions[session]
        self._sessions[session] = (ttl_ms, self._clock.now_ms() + ttl_ms)
        return True

    def destroy_session(self, session: str) -> None:
        """Ends a session and releases its locks."""
        self._sessions.pop(session, None)
        for key in self._versions:
            latest = self._latest(key)
            if latest.session == session:
                self._write(key, latest.value, latest.lock_index, None)

    def lock(self, key: str, value: bytes, session: str) -> bool:
        """Locks a key for a session unless another session holds it."""
        self._expire()
        latest = self._latest(key)
        if session not in self._sessions:
            return False
        if latest.session == session:
            return True
        if latest.session is not None:
            return False
        self._write(key, value, latest.lock_index + 1, session)
        return True

    def _remove_waiter(self) -> None:
        self.waiting -= 1

    def _calls_in_second(self, second: int, *kinds: CallKind) -> int:
        return sum(self.calls[kind, second] for kind in kinds)

    def _latest(self, key: str) -> StoredValue:
        return self._versions.get(key, [StoredValue()])[-1]

    def _write(
        self, key: str, value: bytes, lock_index: int, session: str | None
    ) -> None:
        self._index += 1
        self._append(
            key,
            StoredValue(
                value=value,
                index=self._index,
                lock_index=lock_index,
                session=session,
            ),
        )
        self._changed.set()
        self._changed = Event()

    def _append(self, key: str, stored: StoredValue) -> None:
        versions = self._versions.setdefault(key, [StoredValue()])
        versions.append(stored)
        del versions[:-_MAX_VERSIONS]

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        for session, (_, expires_ms) in tuple(self._sessions.items()):
            if expires_ms <= now_ms:
                self.destroy_session(session)
