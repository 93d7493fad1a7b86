"""The decision whether an opening packet is delivered, queued or refused."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.opening_decision import OpeningAction, OpeningDecision
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.opening_queue import ABANDONED_MS, OpeningQueue
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.flows.target_work import TargetWork
from anvilthread.flows.work_limit import WorkLimit

#: Time of a request while none has been answered. Requests take 13 to 39 ms;
#: zero would make a target of unknown speed look free to every balancer.
_DEFAULT_RUN_MS: Final = 30

#: Longest round trip to a client. The request follows the answer to the
#: opening packet, and the client counts both.
_ROUND_TRIP_MS: Final = 10

#: Silence of a target with work after which waiting packets show whether it
#: still runs: several requests long, since the slowest 3% take seven times as
#: long as others, and at least as long as an opening packet may go unanswered.
_SILENT_RUNS: Final = 4
_MIN_SILENCE_MS: Final = 100

_DELIVER: Final = OpeningDecision(action=OpeningAction.DELIVER)
_REFUSE_COLD: Final = OpeningDecision(
    action=OpeningAction.REFUSE, reason='warming_up'
)


class OpeningGate:
    """Decides by the work at the target and the packets that wait for it.

    Args:
        clock: Source of time.
        work: Requests at the target.
        queue: Packets that wait.
        work_limit: Limit on the requests at the target; None for no limit.
        opening_limit: Limit on the opening packets per second; None for no
            limit.
    """

    __slots__ = ('_clock', '_opening_limit', '_queue', '_work', '_work_limit')

    def __init__(
        self,
        *,
        clock: Clock,
        work: TargetWork,
        queue: OpeningQueue,
        work_limit: WorkLimit | None,
        opening_limit: OpeningLimit | None,
    ) -> None:
        self._clock = clock
        self._work = work
        self._queue = queue
        self._work_limit = work_limit
        self._opening_limit = opening_limit

    @property
    def has_warmup_room(self) -> bool:
        """Whether the target may receive one more opening packet now."""
        return self._opening_limit is None or self._opening_limit.has_room

    @property
    def has_work_room(self) -> bool:
        """Whether the target has capacity for one more request."""
        if self._work_limit is None:
            return True
        return self._work.requests < self._work_limit.limit

    @property
    def is_target_silent(self) -> bool:
        """Whether the target has sent nothing for longer than it should.

        A running target answers an opening packet within a few ms, however
        busy it is, but one whose limit is used up gets none.
        """
        silence_ms = max(self.run_ms * _SILENT_RUNS, _MIN_SILENCE_MS)
        return self._work.is_silent(silence_ms)

    @property
    def requests_above_limit(self) -> int:
        """Requests at the target above its limit."""
        return max(self._work.requests - self.limit, 0)

    @property
    def limit(self) -> int:
        """Requests that may be at the target at a time; 0 for no limit."""
        return 0 if self._work_limit is None else self._work_limit.limit

    @property
    def known_run_ms(self) -> float:
        """Time that the target takes for a request; 0 if unknown."""
        return 0 if self._work_limit is None else self._work_limit.run_ms

    @property
    def run_ms(self) -> float:
        """Time that the target takes for a request, or a default."""
        return self.known_run_ms or _DEFAULT_RUN_MS

    @property
    def answer_ms(self) -> float:
        """Time from the delivery of a packet to the answer of its request."""
        ahead = max(self._work.requests + 1, self.slots)
        return self.run_ms * ahead / self.slots + _ROUND_TRIP_MS

    @property
    def waiting(self) -> int:
        """Number of packets that wait."""
        return len(self._queue)

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time, within the limit."""
        return min(self._work.slots, self.limit or self._work.slots)

    @property
    def requests_above_slots(self) -> int:
        """Requests at the target that it cannot process yet."""
        return max(self._work.requests - self.slots, 0)

    def expected_wait_ms(self, priority: int, *, is_late: bool = False) -> int:
        """Returns how long a packet of a priority waits for the target.

        Args:
            priority: Priority of the packet.
            is_late: Whether it misses its objective, as no new packet does.
        """
        if self._work_limit is None:
            return 0
        ahead = self._queue.count_ahead(
            priority, self.answer_ms, is_late=is_late
        )
        if not ahead and self._work.requests < self.slots:
            return 0
        requests = self.requests_above_slots + ahead + 1
        return round(self.run_ms * requests / self.slots)

    def decide(
        self, opening: QueuedOpening, max_wait_ms: int
    ) -> OpeningDecision:
        """Decides what becomes of a packet that no earlier check refuses.

        Args:
            opening: The packet.
            max_wait_ms: Expected wait above which the balancer wants it back;
                -1 if it wants it queued wherever it can still be served.
        """
        if not self.has_warmup_room:
            return _REFUSE_COLD
        if self.has_work_room:
            return _DELIVER
        now_ms = self._clock.now_ms()
        wait_ms = self.expected_wait_ms(
            opening.priority, is_late=opening.is_late(now_ms, self.answer_ms)
        )
        if 0 <= max_wait_ms < wait_ms:
            return OpeningDecision(
                action=OpeningAction.REFUSE, reason='busy', wait_ms=wait_ms
            )
        age_ms = now_ms - opening.sent_ms
        has_room = self._queue.has_room_for(opening.key, opening.priority)
        if not has_room or age_ms + wait_ms > ABANDONED_MS:
            return OpeningDecision(
                action=OpeningAction.REFUSE, reason='no_room', wait_ms=wait_ms
            )
        return OpeningDecision(action=OpeningAction.QUEUE, wait_ms=wait_ms)
