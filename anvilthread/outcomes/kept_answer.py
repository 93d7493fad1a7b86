"""An answer that can be given again."""

from collections.abc import Callable, Sequence
from typing import Final

from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.responder import ClientGoneError
from anvilthread.outcomes.single_answer import SingleAnswer

_REPLAY_BYTES: Final = 65_536


class KeptAnswer:
    """Passes an answer on to the first client and keeps a copy.

    The copy goes on when the client leaves, because the client repeats the
    request on another connection. A copy that grows beyond its limit is
    dropped; the answer is still passed on.

    Args:
        answer: The first client's answer.
        limit: Most bytes of the copy.
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
        """Bytes that the copy takes."""
        names = sum(len(name) + len(text) for name, text in self._headers)
        return names + len(self._content or b'')

    @property
    def complete(self) -> bool:
        """Whether the copy holds all that was passed on."""
        return self._content is not None

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Keeps and passes on the head."""
        self._status = status
        self._headers = tuple(headers)
        self._bound()
        self._pass_on(lambda: self._answer.head(status, headers))

    def chunk(self, data: bytes) -> None:
        """Keeps and passes on a part of the body."""
        if self._content is not None:
            self._content.extend(data)
            self._bound()
        self._pass_on(lambda: self._answer.chunk(data))

    def end(self) -> None:
        """Passes on the end."""
        self._pass_on(self._answer.end)

    def fail(self, outcome: Outcome) -> None:
        """Passes on a failure."""
        self._answer.fail(outcome)

    def replay(self, answer: SingleAnswer) -> None:
        """Gives the kept answer to another client.

        Raises:
            ClientGoneError: If that client leaves.
        """
        content = bytes(self._content or b'')
        answer.head(self._status, self._headers)
        for offset in range(0, len(content), _REPLAY_BYTES):
            answer.chunk(content[offset : offset + _REPLAY_BYTES])
        answer.end()

    def _pass_on(self, step: Callable[[], None]) -> None:
        if self._client_gone:
            return
        try:
            step()
        except ClientGoneError:
            self._client_gone = True

    def _bound(self) -> None:
        if self.size > self._limit:
            self._content = None
