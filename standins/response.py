"""An answer as a client sees it."""

import hashlib

from gevent.event import Event
from gevent.queue import Queue


class Response:
    """One answer, filled while it arrives.

    Args:
        keep: Whether to keep the body; only the digest of a long stream is
            kept, and its parts are queued.
    """

    def __init__(self, *, keep: bool = True) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.size = 0
        self.body = bytearray()
        self.failure: str | None = None
        self.ended = Event()
        self.head_received = Event()
        self.chunks: Queue[bytes] = Queue()
        self._keep = keep
        self._digest = hashlib.sha256()

    @property
    def outcome(self) -> str:
        """Value of the outcome header, empty if there is none."""
        return self.headers.get('anvilthread-outcome', '')

    @property
    def digest(self) -> str:
        """SHA-256 of the body."""
        return self._digest.hexdigest()

    def head(self, headers: list[tuple[bytes, bytes]]) -> None:
        """Records status and headers."""
        self.headers = {
            name.decode(): content.decode() for name, content in headers
        }
        self.status = int(self.headers[':status'])
        self.head_received.set()

    def feed(self, content: bytes) -> None:
        """Adds a part of the body."""
        self.size += len(content)
        self._digest.update(content)
        if self._keep:
            self.body += content
        else:
            self.chunks.put(content)

    def end(self, failure: str | None = None) -> None:
        """Ends the answer, with the reason if it is incomplete."""
        if not self.ended.is_set():
            self.failure = failure
            self.head_received.set()
            self.ended.set()
            self.chunks.put(b'')
