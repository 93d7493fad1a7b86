"""The interface of what answers requests."""

from typing import Protocol

from anvilthread.agent.h3_stream import H3Stream


class StreamHandler(Protocol):
    """Answers the requests of one service."""

    def handle(self, stream: H3Stream, service: int) -> None:
        """Answers one request; runs in a task of its own.

        Args:
            stream: The request and the way to answer it.
            service: Number of the service that the client wrote to.
        """
