"""Liveness and state of the local target of an agent."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.active_time import ActiveTime
from anvilthread.flows.heartbeat import Heartbeat, HeartbeatEffect
from anvilthread.flows.target_incarnations import TargetIncarnations
from anvilthread.telemetry.log import Log

#: Heartbeat intervals without a heartbeat or a packet after which a target
#: counts as silent; one heartbeat may be late or lost.
_HEARTBEAT_TIMEOUT_INTERVALS: Final = 2.5

#: Minimum silence that shows that a target has ended, however short the
#: interval: pauses of a VM last up to about 1.5 s.
_MIN_END_SILENCE_MS: Final = 3000


class TargetWatch:
    """Tracks the heartbeats of one target.

    Args:
        clock: Source of time.
        interval_ms: Time between heartbeats.
        log: Receives each change of state.
    """

    __slots__ = (
        '_active_time',
        '_clock',
        '_cold_until_ms',
        '_incarnations',
        '_is_absent',
        '_last_seen_ms',
        '_log',
        '_seen_at_ms',
        '_silence_timeout_ms',
        '_started_ms',
    )

    def __init__(self, *, clock: Clock, interval_ms: int, log: Log) -> None:
        self._clock = clock
        self._silence_timeout_ms = interval_ms * _HEARTBEAT_TIMEOUT_INTERVALS
        self._log = log
        self._incarnations = TargetIncarnations(
            clock=clock, interval_ms=interval_ms, log=log
        )
        self._active_time = ActiveTime(clock=clock)
        self._last_seen_ms = 0
        #: Active time of the last heartbeat or packet.
        self._seen_at_ms = 0
        self._cold_until_ms = 0
        self._started_ms = clock.now_ms()
        self._is_absent = False

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time; 1 if unknown."""
        last = self._incarnations.last
        return 1 if last is None else last.slots

    @property
    def cold_ms(self) -> int:
        """Remaining time of the slow start of the target."""
        return max(self._cold_until_ms - self._clock.now_ms(), 0)

    @property
    def is_draining(self) -> bool:
        """Whether the target is about to stop or has stopped."""
        last = self._incarnations.last
        return last is not None and last.is_draining

    @property
    def was_heard(self) -> bool:
        """Whether a heartbeat has arrived since this process started."""
        return self._incarnations.last is not None

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

    @property
    def is_silent(self) -> bool:
        """Whether heartbeats and packets have both been missing for too long.

        Unlike :attr:`is_overdue`, this excludes pauses of this process, after
        which it has yet to read what has arrived.
        """
        silence_ms = self._active_time.elapsed_ms - self._seen_at_ms
        return silence_ms > max(self._silence_timeout_ms, _MIN_END_SILENCE_MS)

    def is_seen_since(self, since_ms: int) -> bool:
        """Whether a heartbeat or packet has arrived at a time or later."""
        return self._last_seen_ms >= since_ms

    @property
    def accepts(self) -> bool:
        """Whether the target may receive new flows.

        Before the first heartbeat is due, a target is assumed to run: an
        opening packet that it does not answer is placed on another agent.
        """
        if not self.was_heard:
            return not self._is_absent and (
                self._clock.now_ms() - self._started_ms
                <= self._silence_timeout_ms
            )
        return self.is_alive and not self.is_draining

    @property
    def saw_target_start(self) -> bool:
        """Whether the target has received no packet before this process ran."""
        return self._incarnations.is_new

    def tick(self) -> None:
        """Counts the time without heartbeats; called every 20 ms."""
        self._active_time.tick()
        self._incarnations.tick()

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatEffect:
        """Handles a heartbeat.

        Args:
            heartbeat: The heartbeat received.

        Returns:
            What it has changed, and whether it may be acknowledged.
        """
        was_draining = self.is_draining
        effect = self._incarnations.on_heartbeat(heartbeat)
        if not effect.is_accepted:
            # A target that has restarted is cold before it is followed.
            self._cold_until_ms = max(
                self._cold_until_ms, self._clock.now_ms() + heartbeat.cold_ms
            )
            return effect
        self._is_absent = False
        now_ms = self._record_sign()
        self._cold_until_ms = now_ms + heartbeat.cold_ms
        if self.is_draining and not was_draining:
            self._log.event(
                'target_draining',
                target=heartbeat.target,
                sequence=heartbeat.sequence,
            )
        return effect

    def on_probe(self, *, is_listening: bool) -> None:
        """Handles a probe that shows whether a target runs on this VM."""
        if is_listening:
            self._record_sign()
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
        self._record_sign()

    def on_departure(self, target: str) -> bool:
        """Records that a target has stopped.

        Args:
            target: Identity of the target.

        Returns:
            Whether it was the target that is watched.
        """
        if not self._incarnations.on_departure(target):
            return False
        self._last_seen_ms = (
            self._clock.now_ms() - int(self._silence_timeout_ms) - 1
        )
        self._log.event('target_departed', target=target)
        return True

    def _record_sign(self) -> int:
        """Records a sign of life of the target, and returns its time."""
        self._seen_at_ms = self._active_time.elapsed_ms
        self._last_seen_ms = self._clock.now_ms()
        return self._last_seen_ms
