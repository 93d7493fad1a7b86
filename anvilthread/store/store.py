"""The interface of the platform's key-value store."""

from typing import Protocol

from result import Result

from anvilthread.store.call_counts import CallCounts
from anvilthread.store.lease import Lease
from anvilthread.store.snapshot import Snapshot
from anvilthread.store.store_error import StoreError
from anvilthread.store.write_guard import WriteGuard


class Store(Protocol):
    """Compare-and-swap, watches and leases.

    Every method blocks only the calling task, for a limited time. The error
    types state whether a write had no effect (``StoreConflict``,
    ``StoreRefused``, ``StoreUnavailable``) or may have had one
    (``StoreAnswerLost``).
    """

    @property
    def counts(self) -> CallCounts:
        """Calls made so far."""

    def get(self, key: str) -> Result[Snapshot, StoreError]:
        """Reads a key."""

    def put(
        self,
        key: str,
        value: bytes,
        revision: int,
        guard: WriteGuard | None = None,
    ) -> Result[None, StoreError]:
        """Writes a key if its revision is still the given one.

        Args:
            key: Name of the value.
            value: New value, at most 1 MB.
            revision: Revision that was read; 0 if the key must not exist.
            guard: Tells the content at that revision from other content that
                got the same revision after a restore of the store.

        Returns:
            None if the write took effect.
        """

    def watch(
        self, key: str, index: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Reads a key once it has changed.

        Args:
            key: Name of the value.
            index: Index of the last snapshot; 0 answers at once.
            wait_ms: Longest time to wait; the value is then returned
                unchanged.

        Returns:
            The value, which may be older than one seen before.
        """

    def acquire(self, name: str, ttl_ms: int) -> Result[Lease, StoreError]:
        """Acquires a lease; ``StoreConflict`` if another holder has it."""

    def renew(self, lease: Lease) -> Result[Lease, StoreError]:
        """Extends a lease; ``StoreConflict`` if it has lapsed."""

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Releases a lease."""
