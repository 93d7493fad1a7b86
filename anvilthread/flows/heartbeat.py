"""Heartbeats of targets, and what follows from one."""

import msgspec


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State of a target, as sent by the target.

    Attributes:
        target: Identity of the target.
        born_ms: Start of the target in ms since the epoch, by its own clock,
            which may jump. It tells incarnations apart, not which is later.
        service: Service that it runs.
        sequence: Number that grows with every heartbeat of an incarnation.
        is_draining: Whether it is about to stop.
        slots: Requests that it processes at a time.
        cold_ms: Duration of its slow start.
    """

    target: str
    born_ms: int
    service: str
    sequence: int
    is_draining: bool
    slots: int
    cold_ms: int

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of one run of the target."""
        return (self.target, self.born_ms)


class HeartbeatEffect(msgspec.Struct, frozen=True, kw_only=True):
    """What a heartbeat has changed.

    Attributes:
        is_accepted: Whether the state that it reports is in effect. If not, it
            must not be acknowledged.
        replaced: Last heartbeat of the incarnation in whose place the sender
            is followed from now on; None if nothing has changed.
        lost_before_ms: Flows whose last packet from the target is older were
            lost with the earlier incarnation; None if no flow is known to be
            lost.
    """

    is_accepted: bool
    replaced: Heartbeat | None = None
    lost_before_ms: int | None = None
