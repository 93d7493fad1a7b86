"""One run of a target."""

import msgspec

from anvilthread.flows.heartbeat import Heartbeat


class TargetIncarnation:
    """What the heartbeats of one run of a target have told.

    Args:
        heartbeat: The first heartbeat received.
        now_ms: Time of its arrival.
    """

    __slots__ = (
        'first',
        'first_heard_ms',
        'has_departed',
        'last',
        'last_heard_ms',
        'was_followed',
    )

    def __init__(self, *, heartbeat: Heartbeat, now_ms: int) -> None:
        self.first = heartbeat
        self.last = heartbeat
        self.first_heard_ms = now_ms
        self.last_heard_ms = now_ms
        #: Whether it has given notice that it has stopped.
        self.has_departed = False
        #: Whether it has been taken for the one that runs.
        self.was_followed = False

    @property
    def heard_for_ms(self) -> int:
        """Time between the first and the last heartbeat."""
        return self.last_heard_ms - self.first_heard_ms

    def may_send(self, heartbeat: Heartbeat) -> bool:
        """Whether a heartbeat can be a further one of this run.

        One that has given notice sends none, whatever their numbers.
        """
        if heartbeat.incarnation != self.last.incarnation:
            return False
        return self.has_departed or heartbeat.sequence > self.last.sequence

    def depart(self) -> None:
        """Records the notice that it has stopped."""
        self.has_departed = True
        self.last = msgspec.structs.replace(self.last, is_draining=True)

    def update(self, heartbeat: Heartbeat, now_ms: int) -> None:
        """Records a later heartbeat."""
        self.last_heard_ms = now_ms
        # A draining target stops; it does not accept flows again.
        is_draining = heartbeat.is_draining or self.last.is_draining
        self.last = msgspec.structs.replace(heartbeat, is_draining=is_draining)
