"""The incarnations of the target on one VM."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.active_time import ActiveTime
from anvilthread.flows.heartbeat import Heartbeat, HeartbeatEffect
from anvilthread.flows.target_incarnation import TargetIncarnation
from anvilthread.telemetry.log import Log

#: Heartbeat intervals without a heartbeat after which another incarnation may
#: take the place of the one that is followed.
_REPLACE_INTERVALS: Final = 1.5

#: Minimum time between two heartbeats that show that their sender runs. Targets
#: repeat a refused heartbeat 35 ms later or more; late ones arrive together.
_MIN_HEARD_MS: Final = 20

#: Heartbeat intervals for which an incarnation must have been heard to be known
#: to have run before the one that replaces it.
_RAN_BEFORE_INTERVALS: Final = 0.5

#: Minimum time from the end of a process to the first packet that the next one
#: sends or delivers; loading the agent takes 200 ms on the smallest VM.
_MIN_RESTART_MS: Final = 300

#: Share of the heartbeat interval below which the mean time between the
#: heartbeats of a target shows that they were not acknowledged.
_RETRY_SHARE: Final = 0.75

#: Number of incarnations kept; others can send any number of identities.
_MAX_KNOWN: Final = 32

_IGNORED: Final = HeartbeatEffect(is_accepted=False)
_ACCEPTED: Final = HeartbeatEffect(is_accepted=True)


class TargetIncarnations:
    """Decides which incarnation of a target runs.

    Start times do not order incarnations, since the time of day of a VM may
    jump either way. Neither does a single heartbeat show that its sender runs:
    it may be late, or come from another writer. What decides is who goes on:
    another incarnation replaces the one that is followed only once that one is
    silent and the other one has been heard again. Until then its heartbeats are
    ignored, and must not be acknowledged.

    Args:
        clock: Source of time.
        interval_ms: Time between heartbeats.
        log: Receives each change, and each heartbeat that is ignored.
    """

    __slots__ = (
        '_active_time',
        '_clock',
        '_current',
        '_heard_at_ms',
        '_interval_ms',
        '_is_new',
        '_known',
        '_log',
        '_ran_before_ms',
        '_replace_ms',
        '_started_ms',
    )

    def __init__(self, *, clock: Clock, interval_ms: int, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._interval_ms = interval_ms
        self._replace_ms = interval_ms * _REPLACE_INTERVALS
        self._ran_before_ms = interval_ms * _RAN_BEFORE_INTERVALS
        self._started_ms = clock.now_ms()
        self._active_time = ActiveTime(clock=clock)
        #: In the order of their first heartbeats. Several may have the same
        #: identity: a step of the clock can repeat a start time.
        self._known: list[TargetIncarnation] = []
        self._current: TargetIncarnation | None = None
        #: Active time of the last heartbeat of the current incarnation.
        self._heard_at_ms = 0
        self._is_new = False

    @property
    def last(self) -> Heartbeat | None:
        """Last heartbeat of the incarnation that is followed."""
        return None if self._current is None else self._current.last

    @property
    def is_new(self) -> bool:
        """Whether it has received no packet before this process ran."""
        return self._is_new

    def tick(self) -> None:
        """Counts the time for which the incarnation followed is silent."""
        self._active_time.tick()

    def on_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatEffect:
        """Handles a heartbeat."""
        now_ms = self._clock.now_ms()
        sender = self._find_sender(heartbeat)
        if sender is None:
            sender = self._add(heartbeat, now_ms)
        elif sender.has_departed:
            return self._ignore(sender, 'departed')
        else:
            sender.update(heartbeat, now_ms)
        if sender is not self._current:
            return self._compare(sender)
        self._heard_at_ms = self._active_time.elapsed_ms
        return _ACCEPTED

    def on_departure(self, target: str) -> bool:
        """Records that a target has stopped.

        Args:
            target: Identity of the target.

        Returns:
            Whether it was the one that is followed.
        """
        current = self._current
        if current is not None and current.last.target == target:
            current.depart()
            return True
        for incarnation in self._known:
            if incarnation.last.target == target:
                incarnation.depart()
        return False

    def _find_sender(self, heartbeat: Heartbeat) -> TargetIncarnation | None:
        """Returns the known incarnation that sends a heartbeat.

        Numbers rise within an incarnation. One that does not rise may be late,
        or come from another one with the same identity.
        """
        current = self._current
        if current is not None and current.may_send(heartbeat):
            return current
        known = reversed(self._known)
        return next((one for one in known if one.may_send(heartbeat)), None)

    def _add(self, heartbeat: Heartbeat, now_ms: int) -> TargetIncarnation:
        added = TargetIncarnation(heartbeat=heartbeat, now_ms=now_ms)
        self._known.append(added)
        if len(self._known) > _MAX_KNOWN:
            others = (one for one in self._known if one is not self._current)
            self._known.remove(next(others))
        return added

    def _compare(self, sender: TargetIncarnation) -> HeartbeatEffect:
        """Handles a heartbeat of an incarnation that is not followed."""
        current = self._current
        if current is None:
            self._follow(sender, is_new=self._has_just_started(sender.first))
            return _ACCEPTED
        if current.has_departed:
            self._follow(sender, is_new=True)
            return HeartbeatEffect(
                is_accepted=True,
                replaced=current.last,
                lost_before_ms=sender.last_heard_ms,
            )
        silence_ms = self._active_time.elapsed_ms - self._heard_at_ms
        if silence_ms < self._replace_ms:
            return self._ignore(sender, 'other_target_runs')
        if sender.heard_for_ms < _MIN_HEARD_MS:
            return self._ignore(sender, 'not_heard_again')
        return self._replace(current, sender)

    def _replace(
        self, replaced: TargetIncarnation, sender: TargetIncarnation
    ) -> HeartbeatEffect:
        """Follows the sender of a heartbeat in place of a silent incarnation."""
        # With the same identity, it may be the one that it seems to replace.
        is_other = sender.last.incarnation != replaced.last.incarnation
        ran_before = replaced.heard_for_ms >= self._ran_before_ms
        is_new = not sender.was_followed and (
            (is_other and ran_before) or self._has_just_started(sender.first)
        )
        self._follow(sender, is_new=is_new)
        return HeartbeatEffect(
            is_accepted=True,
            replaced=replaced.last,
            lost_before_ms=(
                sender.first_heard_ms - _MIN_RESTART_MS if is_new else None
            ),
        )

    def _ignore(
        self, sender: TargetIncarnation, reason: str
    ) -> HeartbeatEffect:
        last = self.last
        self._log.event(
            'heartbeat_ignored',
            reason=reason,
            target=sender.last.target,
            born_ms=sender.last.born_ms,
            sequence=sender.last.sequence,
            followed='' if last is None else last.target,
            followed_born_ms=0 if last is None else last.born_ms,
        )
        return _IGNORED

    def _follow(self, sender: TargetIncarnation, *, is_new: bool) -> None:
        """Takes the sender of a heartbeat for the incarnation that runs."""
        self._current = sender
        self._is_new = is_new
        self._heard_at_ms = self._active_time.elapsed_ms
        sender.was_followed = True
        heartbeat = sender.last
        self._log.event(
            'target_heard',
            target=heartbeat.target,
            born_ms=heartbeat.born_ms,
            sequence=heartbeat.sequence,
            slots=heartbeat.slots,
            is_draining=heartbeat.is_draining,
            cold_ms=heartbeat.cold_ms,
            is_new=is_new,
        )

    def _has_just_started(self, heartbeat: Heartbeat) -> bool:
        """Whether a target has started since this process, or just before.

        Otherwise, an earlier process of this agent may have received heartbeats
        of the target, and delivered packets to it. A target whose heartbeats
        are not received sends more of them, so the first one that is received
        may have a high number.
        """
        repeats = heartbeat.sequence - 1
        if repeats <= 0:
            return True
        if heartbeat.cold_ms <= 0 or heartbeat.born_ms <= 0:
            # The time of day alone may have jumped since the target's start.
            return False
        age_ms = self._clock.wall_ms() - heartbeat.born_ms
        if age_ms >= repeats * self._interval_ms * _RETRY_SHARE:
            return False
        uptime_ms = self._clock.now_ms() - self._started_ms
        return 0 <= age_ms <= uptime_ms + _MIN_RESTART_MS
