"""Acceptance of new flows by an agent, and its load reports."""

from collections import deque
from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.flows.active_time import ActiveTime
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord
from anvilthread.flows.opening_gate import OpeningGate
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.silence_check import SilenceCheck
from anvilthread.flows.target_health import TargetHealth
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.traffic_class import LOWEST_PRIORITY
from anvilthread.flows.work_observer import WorkObserver
from anvilthread.telemetry.log import Log

#: Time for which a target may send nothing after an opening packet before
#: the packet counts as unanswered. A running target accepts a flow within a
#: few ms, however busy it is.
_OPENING_TIMEOUT_MS: Final = 100

#: Unanswered opening packets after which a target counts as silent; a single
#: one could have been lost.
_MIN_UNANSWERED_OPENINGS: Final = 2


class AgentCondition:
    """Load, health and acceptance of an agent and its local target.

    Args:
        clock: Source of time.
        agent: Identity of the agent.
        routes: Configuration and evacuated sites in force.
        flows: Flows of the target.
        target: State of the target, from its heartbeats and packets.
        gate: Decides about opening packets, for the expected wait.
        work: Learns of unanswered requests.
        log: Receives each change.
    """

    __slots__ = (
        '_active_time',
        '_agent',
        '_clock',
        '_flows',
        '_gate',
        '_health',
        '_is_stopping',
        '_pending_openings',
        '_routes',
        '_sequence',
        '_silence',
        '_started_ms',
        '_target',
        '_unanswered_openings',
        '_work',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        agent: NodeRecord,
        routes: RouteHolder,
        flows: AgentFlowTable,
        target: TargetWatch,
        gate: OpeningGate,
        work: WorkObserver,
        log: Log,
    ) -> None:
        self._clock = clock
        self._agent = agent
        self._routes = routes
        self._flows = flows
        self._target = target
        self._gate = gate
        self._work = work
        self._health = TargetHealth(clock=clock, log=log)
        self._silence = SilenceCheck(clock=clock, target=target, log=log)
        self._pending_openings: deque[tuple[int, int, FlowKey]] = deque()
        self._started_ms = clock.now_ms()
        self._active_time = ActiveTime(clock=clock)
        self._unanswered_openings: list[int] = []
        self._sequence = 0
        self._is_stopping = False

    @property
    def accepts(self) -> bool:
        """Whether new flows may be placed on this agent."""
        is_available = self._target.accepts and not self._is_stopping
        return is_available and not self.is_evacuated

    @property
    def is_evacuated(self) -> bool:
        """Whether the site of the agent is evacuated."""
        return self._agent.site in self._routes.evacuations.sites

    @property
    def is_ejected(self) -> bool:
        """Whether new flows are to be placed elsewhere, if there is room.

        Before its first heartbeat, the target may be draining without this
        process knowing.
        """
        return self._health.is_failing or not self._target.was_heard

    @property
    def health(self) -> TargetHealth:
        """Outlier detection by the outcomes of the target's requests."""
        return self._health

    @property
    def silence(self) -> SilenceCheck:
        """Search for proof that a silent target has ended."""
        return self._silence

    @property
    def needs_probe(self) -> bool:
        """Whether the port of the target is to be probed now.

        Only flows that the target has shown or was assumed to hold depend on
        the result.
        """
        return self._silence.is_probe_due and any(
            flow.is_open or flow.is_assumed for _, flow in self._flows.items()
        )

    @property
    def refusal(self) -> str:
        """Why every new flow is refused; empty if new flows are accepted."""
        if self._is_stopping:
            return 'stopping'
        if self._target.is_absent:
            return 'no_target'
        if self._target.is_draining:
            return 'draining'
        return 'evacuated' if self.is_evacuated else ''

    def stop(self) -> None:
        """Refuses all new flows from this call on."""
        self._is_stopping = True

    def report(self, period_ms: int = 0) -> LoadReport:
        """Describes the load of the target.

        Args:
            period_ms: Maximum time until the next report.
        """
        self._sequence += 1
        table = self._routes.table
        report = self._basic_report(period_ms)
        if not table.orders_by_priority(self._agent.service):
            return report
        gate = self._gate
        return msgspec.structs.replace(
            report,
            run_ms=round(gate.known_run_ms, 1),
            wait_ms=gate.expected_wait_ms(LOWEST_PRIORITY),
            waiting=gate.waiting,
            limit=gate.limit,
        )

    def record_opening(self, key: FlowKey) -> None:
        """Starts the timeout of an opening packet sent to the target."""
        self._pending_openings.append(
            (self._active_time.elapsed_ms, self._clock.now_ms(), key)
        )

    def tick(self) -> bool:
        """Checks for opening packets that the target has not answered.

        Returns:
            Whether the target has been proved to have ended, so that its flows
            are lost. Unanswered packets alone only eject it.
        """
        self._active_time.tick()
        due_ms = self._active_time.elapsed_ms - _OPENING_TIMEOUT_MS
        while self._pending_openings and self._pending_openings[0][0] <= due_ms:
            _, placed_ms, key = self._pending_openings.popleft()
            flow = self._flows.get(key)
            if flow is not None and not flow.is_open:
                self._unanswered_openings.append(placed_ms)
        self._unanswered_openings = [
            placed_ms
            for placed_ms in self._unanswered_openings
            if not self._target.is_seen_since(placed_ms)
        ]
        if len(self._unanswered_openings) >= _MIN_UNANSWERED_OPENINGS:
            self._silence.begin(min(self._unanswered_openings))
            self._unanswered_openings.clear()
            self._health.record_silence()
        return self._silence.tick()

    def sweep(self) -> None:
        """Removes expired flows, and times out unanswered requests."""
        for _ in range(self._flows.sweep()):
            self._health.record_failure('request_unanswered')
            self._work.on_failure()

    def _basic_report(self, period_ms: int) -> LoadReport:
        """Describes the load, without the wait for the target."""
        return LoadReport(
            node=self._agent,
            sequence=self._sequence,
            accepts=self.accepts,
            working=self._flows.meter.working
            + self._flows.awaiting_first_request,
            busy=round(self._flows.meter.mean, 3),
            flows=self._flows.reused_flows,
            period_ms=period_ms,
            slots=self._target.slots,
            cold_ms=self._target.cold_ms,
            version=self._routes.table.version,
            check_age_ms=self._routes.check_age_ms,
            is_failing=self._health.is_failing,
            uptime_ms=self._clock.now_ms() - self._started_ms,
            has_new_target=self._target.saw_target_start
            or self._target.is_absent,
            knows_target=self._target.was_heard,
        )
