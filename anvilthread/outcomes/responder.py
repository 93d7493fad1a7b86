"""The interface that receives the answer to a request."""

from collections.abc import Sequence
from typing import Protocol

from anvilthread.error import AnvilthreadError
from anvilthread.outcomes.outcome import Outcome


class ClientGoneError(AnvilthreadError):
    """The client has disconnected, or its request cannot be completed."""


class Responder(Protocol):
    """Receives exactly one answer: head, chunks and end, or a failure.

    ``head``, ``chunk`` and ``end`` raise :class:`ClientGoneError` when the
    client has disconnected; the exchange then counts as cancelled.
    """

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Starts the answer."""

    def chunk(self, data: bytes) -> None:
        """Adds to the body; blocks while the client's window is full."""

    def end(self) -> None:
        """Completes the answer."""

    def fail(self, outcome: Outcome) -> None:
        """Reports *not run* or *unknown*; after ``head``, resets instead.

        The reset shows the client that the answer is incomplete.
        """
