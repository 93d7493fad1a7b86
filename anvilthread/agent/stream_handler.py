"""Interface of the handlers of requests."""

from typing import Protocol

from anvilthread.agent.h3_stream import H3Stream


class StreamHandler(Protocol):
    """Answers the requests of one service."""

    def handle(self, stream: H3Stream, service: int) -> None:
        """Answers one request; runs in a separate task.

        Args:
            stream: Stream with the request, on which the answer is sent.
            service: Number of the service that the client connected to.
        """
