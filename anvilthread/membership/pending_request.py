"""One request to a peer that has not been answered yet."""

from gevent.event import Event

from anvilthread.membership.member import Member


class PendingRequest:
    """A ping or indirect ping that waits for its answer.

    Args:
        sequence: Number that the answer repeats.
        peer: Member that the request was sent to, as known then.
        sent_ms: When the request was sent.
        original: Direct probe that this indirect ping supports, if it is one.
    """

    __slots__ = ('_answered', '_original', '_peer', '_sent_ms', '_sequence')

    def __init__(
        self,
        *,
        sequence: int,
        peer: Member,
        sent_ms: int,
        original: 'PendingRequest | None' = None,
    ) -> None:
        self._answered = Event()
        self._sequence = sequence
        self._peer = peer
        self._sent_ms = sent_ms
        self._original = original

    @property
    def sequence(self) -> int:
        """Number that the answer repeats."""
        return self._sequence

    @property
    def peer(self) -> Member:
        """Member that the request was sent to."""
        return self._peer

    @property
    def sent_ms(self) -> int:
        """When the request was sent."""
        return self._sent_ms

    @property
    def original(self) -> 'PendingRequest | None':
        """Direct probe that this indirect ping supports, or None."""
        return self._original

    @property
    def answered(self) -> Event:
        """Set once the peer is known to be alive."""
        return self._answered
