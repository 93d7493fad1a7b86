"""Liveness and state of the local target of an agent."""

from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.telemetry.log import Log

#: Heartbeat intervals without a heartbeat or a packet after which a target
#: counts as silent; one heartbeat may be late or lost.
_HEARTBEAT_TIMEOUT_INTERVALS: Final = 2.5

#: Highest sequence number of a heartbeat from a target that has just started.
_MAX_FIRST_SEQUENCE: Final = 2

#: Minimum time from the end of a process to the first packet that the next one
#: delivers; loading the program alone takes 200 ms on the smallest VM.
_MIN_RESTART_MS: Final = 300


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """State of a target, as sent by the target.

    Attributes:
        target: Identity of the target.
        born_ms: Start of the target in ms since the epoch, by its own clock;
            0 if not given.
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


class TargetWatch:
    """Tracks the heartbeats of one target.

    Args:
        clock: Source of time.
        interval_ms: Time between heartbeats.
        log: Receives each change of state.
    """

    __slots__ = (
        '_clock',
        '_cold_until_ms',
        '_departed_incarnations',
        '_is_absent',
        '_last',
        '_last_seen_ms',
        '_log',
        '_saw_target_start',
        '_silence_timeout_ms',
        '_started_ms',
    )

    def __init__(self, *, clock: Clock, interval_ms: int, log: Log) -> None:
        self._clock = clock
        self._silence_timeout_ms = interval_ms * _HEARTBEAT_TIMEOUT_INTERVALS
        self._log = log
        self._last: Heartbeat | None = None
        self._last_seen_ms = 0
        self._cold_until_ms = 0
        self._departed_incarnations: set[tuple[str, int]] = set()
        self._started_ms = clock.now_ms()
        self._saw_target_start = False
        self._is_absent = False

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time; 1 if unknown."""
        return 1 if self._last is None else self._last.slots

    @property
    def cold_ms(self) -> int:
        """Remaining time of the slow start of the target."""
        return max(self._cold_until_ms - self._clock.now_ms(), 0)

    @property
    def is_draining(self) -> bool:
        """Whether the target is about to stop or has stopped."""
        return self._last is not None and self._last.is_draining

    @property
    def has_departed(self) -> bool:
        """Whether the target has said that it stops, or stopped while draining.

        It then holds no flow any more.
        """
        if self._is_absent:
            return True
        return self.is_draining and not self.is_alive

    @property
    def is_absent(self) -> bool:
        """Whether no target has been running since this process started."""
        return self._is_absent

    @property
    def is_alive(self) -> bool:
        """Whether a heartbeat or packet has arrived recently."""
        return self.was_seen and (
            self._clock.now_ms() - self._last_seen_ms
            <= self._silence_timeout_ms
        )

    @property
    def was_seen(self) -> bool:
        """Whether the target has sent anything since this process started."""
        return self.is_seen_since(self._started_ms)

    @property
    def is_overdue(self) -> bool:
        """Whether a running target would have sent a heartbeat by now."""
        since_ms = max(self._last_seen_ms, self._started_ms)
        return self._clock.now_ms() - since_ms > self._silence_timeout_ms

    def is_seen_since(self, since_ms: int) -> bool:
        """Whether a heartbeat or packet has arrived at a time or later."""
        return self._last_seen_ms >= since_ms

    @property
    def accepts(self) -> bool:
        """Whether the target may receive new flows.

        Before the first heartbeat is due, a target is assumed to run: an
        opening packet that it does not answer is placed on another agent.
        """
        if self._last is None:
            return not self._is_absent and (
                self._clock.now_ms() - self._started_ms
                <= self._silence_timeout_ms
            )
        return self.is_alive and not self._last.is_draining

    @property
    def saw_target_start(self) -> bool:
        """Whether the target has received no packet before this process ran."""
        return self._saw_target_start

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Handles a heartbeat.

        Args:
            heartbeat: The heartbeat received.

        Returns:
            Whether it comes from another incarnation than the previous one,
            so that every earlier flow is lost.
        """
        last = self._last
        if heartbeat.incarnation in self._departed_incarnations:
            return False
        if last is None:
            self._saw_target_start = self._has_just_started(heartbeat)
            self._is_absent = False
            self._follow(heartbeat)
            return False
        if heartbeat.incarnation != last.incarnation:
            return self._switch(last, heartbeat)
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
            # A draining target stops; it does not accept flows again.
            heartbeat = msgspec.structs.replace(heartbeat, is_draining=True)
        self._last = heartbeat
        self._last_seen_ms = self._clock.now_ms()
        return False

    def on_probe(self, *, is_listening: bool) -> None:
        """Handles a probe that shows whether a target runs on this VM."""
        if is_listening:
            self._last_seen_ms = self._clock.now_ms()
        elif not self.was_seen:
            self._is_absent = True
        self._log.event('target_probed', is_listening=is_listening)

    def on_packet(self, *, is_bounced: bool = False) -> None:
        """Records that the target has sent or returned a packet.

        Args:
            is_bounced: Whether the packet was returned. The VM of a target
                that has stopped may still return packets.
        """
        if not is_bounced:
            self._is_absent = False
        self._last_seen_ms = self._clock.now_ms()

    def on_departure(self, target: str) -> bool:
        """Records that a target has stopped.

        Args:
            target: Identity of the target.

        Returns:
            Whether it was the target that is watched.
        """
        last = self._last
        if last is None or last.target != target:
            return False
        self._departed_incarnations.add(last.incarnation)
        self._last = msgspec.structs.replace(last, is_draining=True)
        self._last_seen_ms = (
            self._clock.now_ms() - int(self._silence_timeout_ms) - 1
        )
        self._log.event('target_departed', target=target)
        return True

    def _has_just_started(self, heartbeat: Heartbeat) -> bool:
        """Whether a target has started since this process, or just before.

        A target whose heartbeats are not received sends more of them, so the
        first one received may have a high number.
        """
        if heartbeat.sequence <= _MAX_FIRST_SEQUENCE:
            return True
        if heartbeat.cold_ms <= 0 or heartbeat.born_ms <= 0:
            # The time of day alone may have jumped since the target's start.
            return False
        age_ms = self._clock.wall_ms() - heartbeat.born_ms
        uptime_ms = self._clock.now_ms() - self._started_ms
        return 0 <= age_ms <= uptime_ms + _MIN_RESTART_MS

    def _switch(self, last: Heartbeat, heartbeat: Heartbeat) -> bool:
        """Switches to another incarnation, unless it is an earlier one."""
        if 0 < heartbeat.born_ms < last.born_ms:
            # A late heartbeat from the previous target at a reused address.
            self._log.event(
                'heartbeat_of_earlier_target',
                target=heartbeat.target,
                born_ms=heartbeat.born_ms,
                followed_born_ms=last.born_ms,
            )
            return False
        self._departed_incarnations.add(last.incarnation)
        self._saw_target_start = True
        self._follow(heartbeat)
        return True

    def _follow(self, heartbeat: Heartbeat) -> None:
        now_ms = self._clock.now_ms()
        self._last = heartbeat
        self._last_seen_ms = now_ms
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
