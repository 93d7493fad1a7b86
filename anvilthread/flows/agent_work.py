"""The work at the target of an agent."""

from anvilthread.clock import Clock
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.target_watch import TargetWatch


class AgentWork:
    """Counts the requests at a target by its flows.

    Args:
        clock: Source of time.
        flows: Flows of the target.
        target: State of the target.
    """

    __slots__ = ('_clock', '_flows', '_target')

    def __init__(
        self, *, clock: Clock, flows: AgentFlowTable, target: TargetWatch
    ) -> None:
        self._clock = clock
        self._flows = flows
        self._target = target

    @property
    def requests(self) -> int:
        """Requests at the target, and new flows whose first one follows."""
        return self._flows.meter.working + self._flows.awaiting_first_request

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time; at least 1."""
        return max(self._target.slots, 1)

    def is_silent(self, duration_ms: float) -> bool:
        """Whether the target has sent nothing for some time."""
        since_ms = self._clock.now_ms() - int(duration_ms)
        return not self._target.is_seen_since(since_ms)
