"""Outlier detection for a target by the outcomes of its requests."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.telemetry.log import Log

#: Time constant of the decay of outcomes. Long enough for a few requests (a
#: busy target answers 20 to 80 per second, an idle one one or two), short
#: against the outages of a few seconds that must be detected.
_DECAY_MS: Final = 2000

#: Minimum weight of failures for an ejection. Since weights decay, the third
#: failure in a row is the first that can reach it.
_MIN_FAILURES: Final = 2

#: Share of failures from which a target is an outlier. Healthy targets are near
#: zero; partly failing ones fail some tenths of their requests.
_MAX_FAILED_SHARE: Final = 0.2

#: Minimum and maximum duration of an ejection. It doubles as long as the target
#: still fails afterwards.
_MIN_EJECTION_MS: Final = 1000
_MAX_EJECTION_MS: Final = 8000

#: Time without an ejection after which the next one has the minimum duration.
#: Also the maximum time between two crashes for the second one to eject.
_EJECTION_RESET_MS: Final = 10_000

#: Lowest status that indicates a server error (RFC 9110).
_MIN_SERVER_ERROR: Final = 500

#: Statuses of a server that is overloaded or that the request is not meant for
#: (RFC 9110). They count as failures only if the target has capacity.
_REFUSAL_STATUSES: Final = frozenset((421, 429, 503))

#: Requests per slot above which a target may refuse as overloaded.
_MAX_WORKING_PER_SLOT: Final = 2

#: Time after the start of an agent within which refusals do not count: the
#: agent does not know the requests that its target received before. Equals the
#: time after which unanswered requests no longer count as load.
_SETTLING_MS: Final = 3000


class TargetHealth:
    """Detects a target that fails although its heartbeats report no fault.

    Only outcomes count, since a heartbeat or health check may be wrong either
    way. An outlier is ejected for some time, and counted from zero afterwards.
    The maximum share of ejected targets is applied at the placement of flows,
    since an agent knows only its own target.

    Args:
        clock: Source of time.
        log: Receives each change.
    """

    __slots__ = (
        '_clock',
        '_ejected_until_ms',
        '_ejection_ms',
        '_failed',
        '_last_crash_ms',
        '_log',
        '_started_ms',
        '_total',
        '_updated_ms',
    )

    def __init__(self, *, clock: Clock, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._failed: float = 0
        self._total: float = 0
        self._started_ms = clock.now_ms()
        self._updated_ms = self._started_ms
        self._ejection_ms = 0
        self._ejected_until_ms = 0
        self._last_crash_ms: int | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the target is ejected from the placement of new flows."""
        return self._clock.now_ms() < self._ejected_until_ms

    @property
    def _is_settled(self) -> bool:
        return self._clock.now_ms() - self._started_ms > _SETTLING_MS

    def record_answer(self, *, status: int, working: int, slots: int) -> None:
        """Records an answer.

        Args:
            status: Status of the answer; 0 if it could not be read.
            working: Requests at the target, including this one.
            slots: Requests that the target processes at a time.
        """
        if status in _REFUSAL_STATUSES:
            if self._is_settled and working <= slots * _MAX_WORKING_PER_SLOT:
                self._record('refused_with_room', 1)
        elif status >= _MIN_SERVER_ERROR:
            self._record('server_error', 1)
        else:
            self._record('', 0)

    def record_failure(self, reason: str) -> None:
        """Records a failed request.

        Args:
            reason: Cause of the failure, for the log.
        """
        self._record(reason, 1)

    def record_silence(self) -> None:
        """Ejects a target that no longer answers any packets."""
        self._eject('silent', self._clock.now_ms())

    def reset(self) -> None:
        """Clears counts and ejection, for a target that replaces another."""
        self._failed = 0
        self._total = 0
        self._ejected_until_ms = 0

    def record_crash(self) -> None:
        """Records that the target has lost its flows without notice.

        A single crash does not eject the restarted target; one that crashes
        repeatedly is ejected for longer each time.
        """
        now_ms = self._clock.now_ms()
        last_crash_ms = self._last_crash_ms
        self._last_crash_ms = now_ms
        if (
            last_crash_ms is not None
            and now_ms - last_crash_ms <= _EJECTION_RESET_MS
        ):
            self._eject('crashed_again', now_ms)
        else:
            self.reset()

    def _record(self, reason: str, failed: int) -> None:
        now_ms = self._clock.now_ms()
        decay = max(1 - (now_ms - self._updated_ms) / _DECAY_MS, 0)
        self._updated_ms = now_ms
        self._failed = self._failed * decay + failed
        self._total = self._total * decay + 1
        if not failed or now_ms < self._ejected_until_ms:
            return
        if self._failed < _MIN_FAILURES:
            return
        if self._failed >= self._total * _MAX_FAILED_SHARE:
            self._eject(reason, now_ms)

    def _eject(self, reason: str, now_ms: int) -> None:
        if now_ms - self._ejected_until_ms > _EJECTION_RESET_MS:
            self._ejection_ms = 0
        self._ejection_ms = min(
            max(self._ejection_ms * 2, _MIN_EJECTION_MS), _MAX_EJECTION_MS
        )
        self._ejected_until_ms = now_ms + self._ejection_ms
        self._log.event(
            'target_failing',
            reason=reason,
            failed=round(self._failed, 1),
            total=round(self._total, 1),
            rest_ms=self._ejection_ms,
        )
        self._failed = 0
        self._total = 0
