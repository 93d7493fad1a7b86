"""An agent with its queue, a limit and a target, in steps of one ms."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from anvilthread.clock import ManualClock
from anvilthread.flows.work_limit import WorkLimit

#: Requests that a target queues above those that it processes.
_TARGET_QUEUE: Final = 8

#: Time in the agent's queue after which the client has given up.
_GIVE_UP_MS: Final = 1300

#: Time from the opening packet to the request that follows it.
ROUND_TRIP_MS: Final = 8


@dataclass(slots=True, kw_only=True)
class PacedRequest:
    """A request on a flow of its own.

    Attributes:
        offered_ms: Time at which the agent receives the opening packet.
        service_ms: Time to the first packet of the answer, once it has a slot.
        hold_ms: Time for which it occupies the slot afterwards.
        fails: Whether the target resets it in place of an answer.
        reached_ms: Time at which the request reaches the target.
        working: Requests at the target then, itself included.
        answered_ms: Time of the answer; None if there was none.
    """

    offered_ms: int
    service_ms: int
    hold_ms: int = 0
    fails: bool = False
    reached_ms: int = 0
    working: int = 0
    answered_ms: int | None = None


class PacedTarget:
    """Delivers requests to a target as a limit allows.

    Args:
        clock: Virtual time, advanced by :meth:`step`.
        limit: Limit under test.
        slots: Requests that the target processes at a time.
        queue: Requests that it queues.
    """

    def __init__(
        self,
        *,
        clock: ManualClock,
        limit: WorkLimit,
        slots: int,
        queue: int = _TARGET_QUEUE,
    ) -> None:
        self._clock = clock
        self._limit = limit
        self._slots = slots
        self._queue = queue
        self._at_agent: deque[PacedRequest] = deque()
        self._in_transit: deque[PacedRequest] = deque()
        self._at_target: deque[PacedRequest] = deque()
        #: Requests in slots, with the end of their service.
        self._in_slots: list[tuple[int, PacedRequest]] = []
        #: Ends of the transfers that still occupy a slot.
        self._holds: list[int] = []
        self.answered: list[PacedRequest] = []
        self.refusals = 0
        self.failures = 0
        self.given_up = 0

    @property
    def working(self) -> int:
        """Requests at the target that it has not answered."""
        return len(self._at_target) + len(self._in_slots)

    def step(self, offered: list[PacedRequest]) -> None:
        """Advances by one ms, and offers requests to the agent."""
        self._clock.skip(1)
        now_ms = self._clock.now_ms()
        self._finish(now_ms)
        self._at_agent.extend(offered)
        while self._at_agent:
            if now_ms - self._at_agent[0].offered_ms <= _GIVE_UP_MS:
                break
            self._at_agent.popleft()
            self.given_up += 1
        self._fill_slots(now_ms)
        self._receive(now_ms)
        while self._at_agent and self._in_flight < self._limit.limit:
            request = self._at_agent.popleft()
            request.reached_ms = now_ms + ROUND_TRIP_MS
            self._in_transit.append(request)

    @property
    def _in_flight(self) -> int:
        return len(self._in_transit) + self.working

    def _finish(self, now_ms: int) -> None:
        self._holds = [end_ms for end_ms in self._holds if end_ms > now_ms]
        ended = [one for end_ms, one in self._in_slots if end_ms <= now_ms]
        self._in_slots = [slot for slot in self._in_slots if slot[0] > now_ms]
        for request in ended:
            if request.hold_ms:
                self._holds.append(now_ms + request.hold_ms)
            if request.fails:
                self.failures += 1
                self._limit.on_failure()
                continue
            request.answered_ms = now_ms
            self.answered.append(request)
            self._limit.on_answer(
                run_ms=now_ms - request.reached_ms, working=request.working
            )

    def _receive(self, now_ms: int) -> None:
        while self._in_transit and self._in_transit[0].reached_ms <= now_ms:
            request = self._in_transit.popleft()
            if len(self._at_target) >= self._queue:
                self.refusals += 1
                self._limit.on_refusal()
                self._at_agent.appendleft(request)
                continue
            request.working = self.working + 1
            self._at_target.append(request)
            self._fill_slots(now_ms)

    def _fill_slots(self, now_ms: int) -> None:
        while self._at_target and (
            len(self._in_slots) + len(self._holds) < self._slots
        ):
            request = self._at_target.popleft()
            self._in_slots.append((now_ms + request.service_ms, request))
