"""Whether an agent takes new flows, and what it reports of its target."""

from collections import deque
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.target_health import TargetHealth
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.log import Log

#: A target accepts a flow within some ms, however busy it is. One that has
#: sent nothing at all for this long after an opening packet is down.
_SILENT_MS: Final = 100

#: Opening packets without any sign of life after which a target is dead; a
#: single one could have been lost.
_SILENT_OPENINGS: Final = 2

#: Longest time between two ticks that counts as waiting for the target: what
#: has arrived while this process stood still is read after the tick.
_LONGEST_TICK_MS: Final = 40


class AgentCondition:
    """Load, health and acceptance of an agent and the target beside it.

    Args:
        clock: Source of time.
        own: The agent.
        routes: Configuration in force.
        flows: Flows of the target.
        target: What the target says of itself.
        log: Receives each change.
    """

    __slots__ = (
        '_clock',
        '_flows',
        '_health',
        '_is_stopping',
        '_opening',
        '_own',
        '_routes',
        '_sequence',
        '_target',
        '_ticked_ms',
        '_unanswered',
        '_waited_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        own: NodeRecord,
        routes: RouteHolder,
        flows: AgentFlowTable,
        target: TargetWatch,
        log: Log,
    ) -> None:
        self._clock = clock
        self._own = own
        self._routes = routes
        self._flows = flows
        self._target = target
        self._health = TargetHealth(clock=clock, log=log)
        self._opening: deque[tuple[int, int, FlowKey]] = deque()
        self._ticked_ms = clock.now_ms()
        self._waited_ms = 0
        self._unanswered: list[int] = []
        self._sequence = 0
        self._is_stopping = False

    @property
    def accepts(self) -> bool:
        """Whether new flows may be placed here."""
        return self._target.accepts and not self._is_stopping

    @property
    def health(self) -> TargetHealth:
        """What became of the requests of the target."""
        return self._health

    @property
    def refusal(self) -> str:
        """Why no new flow is taken at all; empty if some are."""
        if self._is_stopping:
            return 'stopping'
        return 'draining' if self._target.is_draining else ''

    def stop(self) -> None:
        """Refuses new flows from now on."""
        self._is_stopping = True

    def report(self, period_ms: int = 0) -> LoadReport:
        """Describes the load of the target.

        Args:
            period_ms: Time until the next report at the latest.
        """
        self._sequence += 1
        return LoadReport(
            node=self._own,
            sequence=self._sequence,
            accepts=self.accepts,
            working=self._flows.meter.working + self._flows.opening,
            busy=round(self._flows.meter.mean, 3),
            flows=self._flows.long_flows,
            period_ms=period_ms,
            slots=self._target.slots,
            cold_ms=self._target.cold_ms,
            version=self._routes.table.version,
            checked_ms=self._routes.checked_ms,
            is_failing=self._health.is_failing,
        )

    def note_opening(self, key: FlowKey) -> None:
        """Notes a flow whose opening packet the target is handed."""
        self._opening.append((self._waited_ms, self._clock.now_ms(), key))

    def tick(self) -> bool:
        """Notices opening packets that the target has not answered.

        Returns:
            Whether they show that the target is dead and its flows are lost.
        """
        now_ms = self._clock.now_ms()
        self._waited_ms += min(now_ms - self._ticked_ms, _LONGEST_TICK_MS)
        self._ticked_ms = now_ms
        due_ms = self._waited_ms - _SILENT_MS
        while self._opening and self._opening[0][0] <= due_ms:
            _, placed_ms, key = self._opening.popleft()
            flow = self._flows.get(key)
            if flow is not None and not flow.is_open:
                self._unanswered.append(placed_ms)
        self._unanswered = [
            placed_ms
            for placed_ms in self._unanswered
            if not self._target.is_heard_since(placed_ms)
        ]
        if len(self._unanswered) < _SILENT_OPENINGS:
            return False
        self._unanswered.clear()
        self._health.note_silence()
        return True

    def sweep(self) -> None:
        """Forgets flows that are over, and requests without an answer."""
        for _ in range(self._flows.sweep()):
            self._health.note_failure('request_unanswered')
