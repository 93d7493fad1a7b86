"""Null implementation of the store for nodes without one."""

from result import Err, Result

from anvilthread.store.call_counts import CallCounts
from anvilthread.store.lease import Lease
from anvilthread.store.snapshot import Snapshot
from anvilthread.store.store_error import StoreError, StoreUnavailable
from anvilthread.store.write_guard import WriteGuard


class NoStore:
    """Fails every call with ``StoreUnavailable``, as during an outage.

    A node without a store in its settings gets the configuration from peers.
    """

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        self._counts = CallCounts()

    @property
    def counts(self) -> CallCounts:
        """Always zero, since no calls are made."""
        return self._counts

    def get(self, key: str) -> Result[Snapshot, StoreError]:
        """Fails."""
        return _unavailable()

    def put(
        self,
        key: str,
        value: bytes,
        revision: int,
        guard: WriteGuard | None = None,
    ) -> Result[None, StoreError]:
        """Fails."""
        return _unavailable()

    def watch(
        self, key: str, index: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Fails."""
        return _unavailable()

    def acquire(self, name: str, ttl_ms: int) -> Result[Lease, StoreError]:
        """Fails."""
        return _unavailable()

    def renew(self, lease: Lease) -> Result[Lease, StoreError]:
        """Fails."""
        return _unavailable()

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Fails."""
        return _unavailable()


def _unavailable() -> Err[StoreError]:
    return Err(StoreUnavailable(reason='none is configured on this node'))
