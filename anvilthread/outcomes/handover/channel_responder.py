"""Sends an answer to the offering agent."""

from collections.abc import Sequence

from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.messages import (
    AnyMessage,
    Chunk,
    End,
    Failed,
    Head,
)
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.responder import ClientGoneError


class ChannelResponder:
    """Sends an answer in messages of bounded size.

    Args:
        channel: Channel to the offering agent.
        chunk_bytes: Maximum number of body bytes in one message.
    """

    __slots__ = ('_channel', '_chunk_bytes')

    def __init__(self, *, channel: Channel, chunk_bytes: int) -> None:
        self._channel = channel
        self._chunk_bytes = chunk_bytes

    def head(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Sends the head."""
        self._put(Head(status, tuple(headers)))

    def chunk(self, data: bytes) -> None:
        """Sends a part of the body; blocks while there is no credit."""
        for offset in range(0, len(data), self._chunk_bytes):
            self._put(Chunk(data[offset : offset + self._chunk_bytes]))

    def end(self) -> None:
        """Sends the end."""
        self._put(End())

    def fail(self, outcome: Outcome) -> None:
        """Sends the outcome of a run without a complete answer."""
        self._put(Failed(outcome))

    def _put(self, message: AnyMessage) -> None:
        try:
            self._channel.put(message)
        except ChannelLostError as lost:
            raise ClientGoneError(
                reason='the offering agent is lost',
                remedy='check the agent and the network between the two',
            ) from lost
