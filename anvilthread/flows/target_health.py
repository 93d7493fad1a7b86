"""Whether a target does its work, judged by what becomes of its requests."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.telemetry.log import Log

#: Time constant with which outcomes lose their weight. Long enough for a few
#: requests (a busy target answers 20 to 80 a second, an idle one one or two),
#: short against the outages of some seconds that are to be noticed.
_MEMORY_MS: Final = 2000

#: Weight of failures before a target is judged at all. Weights fade, so that
#: the third failure in a row is the first that can reach it.
_MIN_FAILURES: Final = 2

#: Share of failures that makes a target an outlier. Sound targets are near
#: zero; those that fail in part fail some tenths of their requests.
_MAX_FAILED_SHARE: Final = 0.2

#: First rest of an outlier, and the longest: the rest doubles as long as the
#: target still fails afterwards.
_FIRST_REST_MS: Final = 1000
_LONGEST_REST_MS: Final = 8000

#: A target that has worked for this long starts over with the first rest.
_FORGIVEN_MS: Final = 10_000

#: Lowest status that blames the server (RFC 9110).
_SERVER_ERROR: Final = 500

#: Statuses with which a server says that it has no room or that the request
#: is not for it (RFC 9110). They speak against a target with room only.
_REFUSALS: Final = frozenset((421, 429, 503))

#: Requests per slot above which a target may refuse for want of room.
_CROWDED: Final = 2

#: Time after the start of an agent for which refusals prove nothing: it has
#: not seen what its target works on. Requests without an answer for this
#: long no longer count as work.
_SETTLING_MS: Final = 3000


class TargetHealth:
    """Notices a target that fails while its heartbeats say that it is well.

    Only outcomes count: what a target or its health check says may be wrong
    either way. An outlier rests, and is judged afresh afterwards. How many
    outliers a service can spare is decided where flows are placed, since an
    agent knows its own target only.

    Args:
        clock: Source of time.
        log: Receives each change.
    """

    __slots__ = (
        '_clock',
        '_crashed_ms',
        '_failed',
        '_log',
        '_noted_ms',
        '_rest_ms',
        '_resting_until_ms',
        '_started_ms',
        '_total',
    )

    def __init__(self, *, clock: Clock, log: Log) -> None:
        self._clock = clock
        self._log = log
        self._failed: float = 0
        self._total: float = 0
        self._started_ms = clock.now_ms()
        self._noted_ms = self._started_ms
        self._rest_ms = 0
        self._resting_until_ms = 0
        self._crashed_ms: int | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the target had better get no new flows."""
        return self._clock.now_ms() < self._resting_until_ms

    @property
    def _is_settled(self) -> bool:
        return self._clock.now_ms() - self._started_ms > _SETTLING_MS

    def note_answer(self, *, status: int, working: int, slots: int) -> None:
        """Notes an answer.

        Args:
            status: Status of the answer; 0 if it could not be read.
            working: Requests at the target, this one included.
            slots: Requests that the target processes at a time.
        """
        if status in _REFUSALS:
            if self._is_settled and working <= slots * _CROWDED:
                self._note('refused_with_room', 1)
        elif status >= _SERVER_ERROR:
            self._note('server_error', 1)
        else:
            self._note('', 0)

    def note_failure(self, reason: str) -> None:
        """Notes a request that came to nothing.

        Args:
            reason: What has happened, for the log.
        """
        self._note(reason, 1)

    def note_silence(self) -> None:
        """Notes that the target no longer answers anything."""
        self._rest('silent', self._clock.now_ms())

    def start_over(self) -> None:
        """Judges a target afresh that has taken the place of another."""
        self._failed = 0
        self._total = 0
        self._resting_until_ms = 0

    def note_crash(self) -> None:
        """Notes that the target has lost its flows without notice.

        One crash says little of what comes after it; a target that goes down
        and up by turns rests longer each time.
        """
        now_ms = self._clock.now_ms()
        crashed_ms = self._crashed_ms
        self._crashed_ms = now_ms
        if crashed_ms is not None and now_ms - crashed_ms <= _FORGIVEN_MS:
            self._rest('crashed_again', now_ms)
        else:
            self.start_over()

    def _note(self, reason: str, failed: int) -> None:
        now_ms = self._clock.now_ms()
        fade = max(1 - (now_ms - self._noted_ms) / _MEMORY_MS, 0)
        self._noted_ms = now_ms
        self._failed = self._failed * fade + failed
        self._total = self._total * fade + 1
        if not failed or now_ms < self._resting_until_ms:
            return
        if self._failed < _MIN_FAILURES:
            return
        if self._failed >= self._total * _MAX_FAILED_SHARE:
            self._rest(reason, now_ms)

    def _rest(self, reason: str, now_ms: int) -> None:
        if now_ms - self._resting_until_ms > _FORGIVEN_MS:
            self._rest_ms = 0
        self._rest_ms = min(
            max(self._rest_ms * 2, _FIRST_REST_MS), _LONGEST_REST_MS
        )
        self._resting_until_ms = now_ms + self._rest_ms
        self._log.event(
            'target_failing',
            reason=reason,
            failed=round(self._failed, 1),
            total=round(self._total, 1),
            rest_ms=self._rest_ms,
        )
        self._failed = 0
        self._total = 0
