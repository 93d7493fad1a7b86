"""What an agent knows about the target beside it."""

from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.telemetry.log import Log

#: A target is silent after this many heartbeat intervals without a heartbeat
#: and without a packet; one heartbeat may be late or lost.
_SILENT_INTERVALS: Final = 2.5

#: First heartbeats of a target that has just started carry these numbers.
_FIRST_SEQUENCE: Final = 2


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """What a target says of itself.

    Attributes:
        target: Identity of the target.
        born_ms: Start of the target since the epoch, by its own clock; 0 if
            it does not say.
        service: Service that it runs.
        sequence: Number that grows with every heartbeat of an incarnation.
        is_draining: Whether it is about to stop.
        slots: Requests that it processes at a time.
        cold_ms: Time for which it will be slow after its start.
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
        """Identity of one start of the target."""
        return (self.target, self.born_ms)


class TargetWatch:
    """Follows the heartbeats of one target.

    Args:
        clock: Source of time.
        interval_ms: Time between heartbeats.
        log: Receives each change of state.
    """

    __slots__ = (
        '_clock',
        '_cold_until_ms',
        '_departed',
        '_heard_ms',
        '_last',
        '_log',
        '_silence_ms',
        '_started_ms',
        '_was_present',
    )

    def __init__(self, *, clock: Clock, interval_ms: int, log: Log) -> None:
        self._clock = clock
        self._silence_ms = interval_ms * _SILENT_INTERVALS
        self._log = log
        self._last: Heartbeat | None = None
        self._heard_ms = 0
        self._cold_until_ms = 0
        self._departed: set[tuple[str, int]] = set()
        self._started_ms = clock.now_ms()
        self._was_present = False

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time; 1 if unknown."""
        return 1 if self._last is None else self._last.slots

    @property
    def cold_ms(self) -> int:
        """Time for which the target is still slow after its start."""
        return max(self._cold_until_ms - self._clock.now_ms(), 0)

    @property
    def is_draining(self) -> bool:
        """Whether the target is about to stop or has stopped."""
        return self._last is not None and self._last.is_draining

    @property
    def is_heard(self) -> bool:
        """Whether the target has shown life lately."""
        if self._last is None:
            return False
        return self._clock.now_ms() - self._heard_ms <= self._silence_ms

    @property
    def has_shown_life(self) -> bool:
        """Whether anything has come from the target since the start here."""
        return self.is_heard_since(self._started_ms)

    @property
    def is_missing(self) -> bool:
        """Whether a target that lives would have been heard by now."""
        since_ms = max(self._heard_ms, self._started_ms)
        return self._clock.now_ms() - since_ms > self._silence_ms

    def is_heard_since(self, since_ms: int) -> bool:
        """Whether the target has shown life at a time or later."""
        return self._heard_ms >= since_ms

    @property
    def accepts(self) -> bool:
        """Whether the target may be given new flows.

        Before the first heartbeat is due, a target is assumed to work: an
        opening packet that it does not answer goes to another agent.
        """
        if self._last is None:
            return self._clock.now_ms() - self._started_ms <= self._silence_ms
        return self.is_heard and not self._last.is_draining

    @property
    def is_newborn(self) -> bool:
        """Whether the target has started while this process was running."""
        return self._was_present

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Takes a heartbeat in.

        Args:
            heartbeat: What the target says.

        Returns:
            Whether it comes from another incarnation than the one before, so
            that every earlier flow is gone.
        """
        last = self._last
        if heartbeat.incarnation in self._departed:
            return False
        if last is None:
            self._was_present = heartbeat.sequence <= _FIRST_SEQUENCE
            self._begin(heartbeat)
            return False
        if heartbeat.incarnation != last.incarnation:
            return self._change(last, heartbeat)
        if heartbeat.sequence <= last.sequence:
            self._log.event(
                'heartbeat_outdated',
                target=heartbeat.target,
                sequence=heartbeat.sequence,
                last_sequence=last.sequence,
            )
            return False
        if heartbeat.is_draining and not last.is_draining:
            self._log.event(
                'target_draining',
                target=heartbeat.target,
                sequence=heartbeat.sequence,
            )
        elif last.is_draining and not heartbeat.is_draining:
            # A target that drains stops; it does not come back to work.
            heartbeat = msgspec.structs.replace(heartbeat, is_draining=True)
        self._last = heartbeat
        self._heard_ms = self._clock.now_ms()
        return False

    def on_packet(self) -> None:
        """Notes that the target has sent a packet, or returned one."""
        self._heard_ms = self._clock.now_ms()

    def on_departure(self, target: str) -> bool:
        """Notes that a target has stopped.

        Args:
            target: Identity of the target.

        Returns:
            Whether it was the one followed.
        """
        last = self._last
        if last is None or last.target != target:
            return False
        self._departed.add(last.incarnation)
        self._last = msgspec.structs.replace(last, is_draining=True)
        self._heard_ms = self._clock.now_ms() - int(self._silence_ms) - 1
        self._log.event('target_departed', target=target)
        return True

    def _change(self, last: Heartbeat, heartbeat: Heartbeat) -> bool:
        """Follows another incarnation, unless it is an earlier one."""
        if 0 < heartbeat.born_ms < last.born_ms:
            # A late heartbeat of a target whose address is in use again.
            self._log.event(
                'heartbeat_of_earlier_target',
                target=heartbeat.target,
                born_ms=heartbeat.born_ms,
                followed_born_ms=last.born_ms,
            )
            return False
        self._departed.add(last.incarnation)
        self._was_present = True
        self._begin(heartbeat)
        return True

    def _begin(self, heartbeat: Heartbeat) -> None:
        now_ms = self._clock.now_ms()
        self._last = heartbeat
        self._heard_ms = now_ms
        self._cold_until_ms = now_ms + heartbeat.cold_ms
        self._log.event(
            'target_heard',
            target=heartbeat.target,
            born_ms=heartbeat.born_ms,
            sequence=heartbeat.sequence,
            slots=heartbeat.slots,
            is_draining=heartbeat.is_draining,
            cold_ms=heartbeat.cold_ms,
        )
