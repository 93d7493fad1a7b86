"""An answer that can be replayed."""

from collections.abc import Callable, Sequence
from typing import Final

from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.responder import ClientGoneError
from anvilthread.outcomes.single_answer import SingleAnswer

_REPLAY_BYTES: Final = 65_536


class KeptAnswer:
    """Forwards an answer to the first client and keeps a copy.

    The copy is completed even if the client disconnects, because the client
    repeats the request on another connection. A copy that exceeds its limit is
    dropped; the answer is still forwarded.

    Args:
        answer: The first client's answer.
        limit: Maximum size of the copy in bytes.
    """

    __slots__ = (
        '_answer',
        '_client_gone',
        '_content',
        '_headers',
        '_limit',
        '_status',
    )

    def __init__(self, *, answer: SingleAnswer, limit: int) -> None:
        self._answer = answer
        self._limit = limit
        self._client_gone = False
        self._status = 0
        self._headers: tuple[tuple[str, str], ...] = ()
        self._content: bytearray | None = bytearray()

    @property
    def size(self) -> int:
        """Size of the copy in bytes."""
        header_bytes = sum(
            len(name) + len(text) for name, text in self._headers
        )
        return header_bytes + len(self._content or b'')

    @property
    def complete(self) -> bool:
        """Whether the copy holds everything that was forwarded."""
        return self._content is not None

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Keeps and forwards the head."""
        self._status = status
        self._headers = tuple(headers)
        self._drop_above_limit()
        self._forward(lambda: self._answer.head(status, headers))

    def chunk(self, data: bytes) -> None:
        """Keeps and forwards a part of the body."""
        if self._content is not None:
            self._content.extend(data)
            self._drop_above_limit()
        self._forward(lambda: self._answer.chunk(data))

    def end(self) -> None:
        """Forwards the end."""
        self._forward(self._answer.end)

    def fail(self, outcome: Outcome) -> None:
        """Forwards a failure."""
        self._answer.fail(outcome)

    def replay(self, answer: SingleAnswer) -> None:
        """Sends the kept answer to another client.

        Raises:
            ClientGoneError: If that client disconnects.
        """
        content = bytes(self._content or b'')
        answer.head(self._status, self._headers)
        for offset in range(0, len(content), _REPLAY_BYTES):
            answer.chunk(content[offset : offset + _REPLAY_BYTES])
        answer.end()

    def _forward(self, write: Callable[[], None]) -> None:
        if self._client_gone:
            return
        try:
            write()
        except ClientGoneError:
            self._client_gone = True

    def _drop_above_limit(self) -> None:
        if self.size > self._limit:
            self._content = None
