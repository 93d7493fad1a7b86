"""The record of one used execution key."""

from typing import Final

from gevent.event import Event

from anvilthread.outcomes.kept_answer import KeptAnswer
from anvilthread.outcomes.outcome import Outcome

#: Memory accounted for one record without its answer.
RECORD_BYTES: Final = 1024


class ExecutionRecord:
    """One use of a key: its request, and the outcome once there is one.

    Args:
        number: Number of the key.
        digest: Digest of method, path and body of the first request.
        expires_ms: Monotonic time after which the key cannot be used.
    """

    __slots__ = (
        '_digest',
        '_done',
        '_expires_ms',
        '_number',
        'kept',
        'outcome',
    )

    def __init__(self, *, number: int, digest: bytes, expires_ms: int) -> None:
        self._number = number
        self._digest = digest
        self._expires_ms = expires_ms
        self._done = Event()
        self.outcome: Outcome | None = None
        self.kept: KeptAnswer | None = None

    @property
    def number(self) -> int:
        """Number of the key."""
        return self._number

    @property
    def digest(self) -> bytes:
        """Digest of the first request."""
        return self._digest

    @property
    def expires_ms(self) -> int:
        """Monotonic time after which the key cannot be used."""
        return self._expires_ms

    @property
    def done(self) -> Event:
        """Set when there is an outcome."""
        return self._done
