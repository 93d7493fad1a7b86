"""The unanswered requests of one node."""

from random import Random
from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.member import Member
from anvilthread.membership.pending_request import PendingRequest

#: Sequence numbers have 32 bits and start at random, so that a restarted node
#: does not accept answers to requests of the previous process.
_SEQUENCE_COUNT: Final = 1 << 32

#: Requests outlive their timeout, as late answers still prove contact with the
#: site.
_RETENTION_MS: Final = 2000


class PendingRequests:
    """Matches answers to requests.

    Args:
        clock: Clock of the requests.
        random: Source of the first sequence number.
    """

    __slots__ = ('_clock', '_last_sequence', '_open')

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._last_sequence = random.randrange(_SEQUENCE_COUNT)
        self._open: dict[int, PendingRequest] = {}

    def open(
        self, peer: Member, *, original: PendingRequest | None = None
    ) -> PendingRequest:
        """Adds a request that waits for an answer."""
        self._expire()
        self._last_sequence = (self._last_sequence + 1) % _SEQUENCE_COUNT
        request = PendingRequest(
            sequence=self._last_sequence,
            peer=peer,
            sent_ms=self._clock.now_ms(),
            original=original,
        )
        self._open[self._last_sequence] = request
        return request

    def match_answer(
        self, sequence: int, sender: Address
    ) -> PendingRequest | None:
        """Removes and returns the request that an answer belongs to.

        Returns:
            The request, or None if it is unknown, was answered before, or was
            sent to another member.
        """
        request = self._open.get(sequence)
        if request is None or request.peer.control_address != sender:
            return None
        return self._open.pop(sequence)

    def clear(self) -> None:
        """Drops all requests, so that no later answer matches one."""
        self._open.clear()

    def _expire(self) -> None:
        cutoff_ms = self._clock.now_ms() - _RETENTION_MS
        while self._open:
            oldest = next(iter(self._open.values()))
            if oldest.sent_ms > cutoff_ms:
                return
            self._open.pop(oldest.sequence)
