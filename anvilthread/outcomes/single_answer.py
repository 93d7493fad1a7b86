"""At most one answer per request."""

from collections.abc import Sequence

from anvilthread.error import AnvilthreadError
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.responder import Responder


class SecondAnswerError(AnvilthreadError):
    """A component tried to answer a request twice."""

    def __init__(self) -> None:
        super().__init__(
            reason='the request already has an answer',
            remedy='report this fault with the log of the agent',
        )


class SingleAnswer:
    """Forwards at most one answer and rejects calls out of order.

    Args:
        responder: Receiver of the answer.
    """

    __slots__ = ('_closed', '_responder', '_started')

    def __init__(self, *, responder: Responder) -> None:
        self._responder = responder
        self._started = False
        self._closed = False

    @property
    def started(self) -> bool:
        """Whether any part of an answer has been forwarded."""
        return self._started

    @property
    def closed(self) -> bool:
        """Whether the answer is complete or has failed."""
        return self._closed

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Starts the answer.

        Raises:
            SecondAnswerError: If it has been started or has failed.
        """
        if self._started or self._closed:
            raise SecondAnswerError
        self._started = True
        self._responder.head(status, headers)

    def chunk(self, data: bytes) -> None:
        """Adds to the body.

        Raises:
            SecondAnswerError: If the answer is not open.
        """
        self._check_open()
        self._responder.chunk(data)

    def end(self) -> None:
        """Completes the answer.

        Raises:
            SecondAnswerError: If the answer is not open.
        """
        self._check_open()
        self._closed = True
        self._responder.end()

    def fail(self, outcome: Outcome) -> None:
        """Reports an outcome without an answer.

        Raises:
            SecondAnswerError: If the answer is complete or has failed.
        """
        if self._closed:
            raise SecondAnswerError
        self._closed = True
        self._started = True
        self._responder.fail(outcome)

    def _check_open(self) -> None:
        if self._closed or not self._started:
            raise SecondAnswerError
