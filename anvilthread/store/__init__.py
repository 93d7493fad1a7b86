"""The platform's key-value store.

The client is imported from its own module, since it loads an HTTP library.
"""

from anvilthread.store.call_counts import CallCounts
from anvilthread.store.call_kind import CallKind
from anvilthread.store.fence import Fence
from anvilthread.store.lease import Lease
from anvilthread.store.snapshot import Snapshot
from anvilthread.store.store import Store
from anvilthread.store.store_error import (
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
    StoreUnavailable,
)
from anvilthread.store.write_guard import WriteGuard

__all__ = (
    'CallCounts',
    'CallKind',
    'Fence',
    'Lease',
    'Snapshot',
    'Store',
    'StoreAnswerLost',
    'StoreConflict',
    'StoreError',
    'StoreRefused',
    'StoreUnavailable',
    'WriteGuard',
)
