"""One request to a peer that waits for an answer."""

from gevent.event import Event

from anvilthread.membership.member import Member


class Exchange:
    """A probe under way.

    Args:
        sequence: Number that the answer repeats.
        peer: Member that was asked, as known then.
        sent_ms: When it was asked.
        principal: Probe on behalf of which a helper was asked.
    """

    __slots__ = ('_answered', '_peer', '_principal', '_sent_ms', '_sequence')

    def __init__(
        self,
        *,
        sequence: int,
        peer: Member,
        sent_ms: int,
        principal: 'Exchange | None' = None,
    ) -> None:
        self._answered = Event()
        self._sequence = sequence
        self._peer = peer
        self._sent_ms = sent_ms
        self._principal = principal

    @property
    def sequence(self) -> int:
        """Number that the answer repeats."""
        return self._sequence

    @property
    def peer(self) -> Member:
        """Member that was asked."""
        return self._peer

    @property
    def sent_ms(self) -> int:
        """When the peer was asked."""
        return self._sent_ms

    @property
    def principal(self) -> 'Exchange | None':
        """Probe on behalf of which a helper was asked."""
        return self._principal

    @property
    def answered(self) -> Event:
        """Set once the peer is known to be up."""
        return self._answered
