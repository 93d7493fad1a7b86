"""The requests of one node that wait for answers."""

from random import Random
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.exchange import Exchange
from anvilthread.membership.member import Member

#: Sequence numbers are 32 bits and start at random, so that a restarted node
#: does not take over answers to its predecessor.
_SEQUENCES: Final = 1 << 32

#: Late answers still show contact with the site.
_KEPT_MS: Final = 2000


class Exchanges:
    """Matches answers to requests.

    Args:
        clock: Clock of the requests.
        random: Source of the first sequence number.
    """

    __slots__ = ('_clock', '_next', '_open')

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._next = random.randrange(_SEQUENCES)
        self._open: dict[int, Exchange] = {}

    def open(
        self, peer: Member, *, principal: Exchange | None = None
    ) -> Exchange:
        """Starts waiting for an answer."""
        self._expire()
        self._next = (self._next + 1) % _SEQUENCES
        exchange = Exchange(
            sequence=self._next,
            peer=peer,
            sent_ms=self._clock.now_ms(),
            principal=principal,
        )
        self._open[self._next] = exchange
        return exchange

    def close(self, sequence: int, sender: Address) -> Exchange | None:
        """Returns the request behind an answer, once and to its peer only."""
        exchange = self._open.get(sequence)
        if exchange is None or exchange.peer.control_address != sender:
            return None
        return self._open.pop(sequence)

    def clear(self) -> None:
        """Forgets all requests, so that no answer matches any more."""
        self._open.clear()

    def _expire(self) -> None:
        expired_ms = self._clock.now_ms() - _KEPT_MS
        while self._open:
            oldest = next(iter(self._open.values()))
            if oldest.sent_ms > expired_ms:
                return
            self._open.pop(oldest.sequence)
