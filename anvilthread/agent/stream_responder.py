"""Answers on an HTTP/3 stream."""

from collections.abc import Sequence
from typing import Final

from anvilthread.agent.h3_stream import H3Stream
from anvilthread.outcomes import Outcome

#: Hop-by-hop headers, which HTTP/3 forbids (RFC 9114, 4.2).
_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class StreamResponder:
    """Sends exactly one answer to a client's request.

    Args:
        stream: The stream of the request.
    """

    __slots__ = ('_has_sent_head', '_stream')

    def __init__(self, *, stream: H3Stream) -> None:
        self._stream = stream
        self._has_sent_head = False

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Starts the answer."""
        pairs = [(b':status', str(status).encode())]
        for name, field_value in headers:
            if name.lower() not in _HOP_HEADERS:
                pairs.append(
                    (name.lower().encode(), field_value.encode('latin-1'))
                )
        self._stream.head(pairs)
        self._has_sent_head = True

    def chunk(self, data: bytes) -> None:
        """Sends a part of the body; blocks while the client reads slowly."""
        self._stream.chunk(data)

    def end(self) -> None:
        """Completes the answer."""
        self._stream.end()

    def fail(self, outcome: Outcome) -> None:
        """Reports *not run* or *unknown*; resets an answer that has begun."""
        if self._has_sent_head:
            self._stream.reset()
            return
        self.head(outcome.status, outcome.headers)
        self._stream.chunk(outcome.body)
        self._stream.end()
