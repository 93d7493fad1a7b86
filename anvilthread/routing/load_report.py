"""Load of one agent as reported to a balancer."""

from typing import Final

import msgspec

from anvilthread.address import Address

#: Warm-up progress of a target that has finished its slow start.
FULL_WARMTH_PERCENT: Final = 100

_COUNTER_MASK: Final = 0xFFFFFFFF
_HALF_RANGE: Final = 0x80000000


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of an agent as measured by the agent itself.

    Counters are totals since the start of the incarnation and wrap at 32 bits.

    Args:
        service: Number of the service.
        agent: Data address of the agent.
        incarnation: Incarnation of the agent; a report of a higher one
            replaces all reports of lower ones.
        sequence: Number of the report within the incarnation.
        connections: Open connections.
        busy: Slots of the target in use.
        waiting: Requests in the queue.
        slots: Slots of the target.
        accepted: Connections accepted.
        placed: First packets received directly from any balancer, whether
            accepted or passed on.
        received: First packets received directly from the balancer to which
            this report is sent.
        warmth_percent: Progress of the slow start, 0 to 100.
        draining: Whether the agent refuses new connections.
    """

    service: int
    agent: Address
    incarnation: int
    sequence: int
    connections: int
    busy: int = 0
    waiting: int = 0
    slots: int = 1
    accepted: int = 0
    placed: int = 0
    received: int = 0
    warmth_percent: int = FULL_WARMTH_PERCENT
    draining: bool = False

    @property
    def cold(self) -> bool:
        """Whether the target is still in its slow start."""
        return self.warmth_percent < FULL_WARMTH_PERCENT

    def follows(self, earlier: 'LoadReport') -> bool:
        """Tells whether this report is newer than an earlier one.

        Sequence numbers wrap and are therefore compared as in RFC 1982.
        """
        if self.incarnation != earlier.incarnation:
            return self.incarnation > earlier.incarnation
        ahead = (self.sequence - earlier.sequence) & _COUNTER_MASK
        return 0 < ahead < _HALF_RANGE
