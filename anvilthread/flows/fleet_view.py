"""What a balancer may conclude from its roster."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.agent_ranking import rank_agents
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.roster import Roster

#: Time after its start within which a node may not know all agents.
_SETTLING_MS: Final = 3000

#: Time after its start within which a node may know few agents. Agents report
#: to a balancer at its first hello; after a common start, the first flows are
#: placed 0.2 s after the start of a process.
_STARTUP_MS: Final = 800

#: Time after its start from which a node resets flows if most agents have lost
#: theirs together with it: an unknown agent hardly holds any.
_LOSS_STARTUP_MS: Final = 300

#: Pause between two ticks after which the view counts as new. Messages that
#: arrived meanwhile are read only after the tick.
_MAX_PAUSE_MS: Final = 1000

#: Maximum time between the starts of this node and of an agent at which both
#: count as started together, as after a loss of power.
_COMMON_START_MS: Final = 1500

#: Time by which agents may start before this node and still have lost their
#: flows in the same loss of power, if their targets are new. The smallest
#: balancers start 2 to 3 s after the agents.
_LATE_START_MS: Final = 4000

#: Time without a further agent after which a node that has started late knows
#: all of them. Flows have been opened since the loss, so that an unknown agent
#: may hold some. Lists of peers arrive within a few round trips.
_LATE_KNOWN_MS: Final = 150


class FleetView:
    """Interprets the roster of a balancer: who may hold a flow, who is gone.

    Args:
        clock: Source of time.
        roster: The nodes and their reports.
    """

    __slots__ = (
        '_agents_since_ms',
        '_clock',
        '_flows_are_lost',
        '_flows_were_lost',
        '_last_tick_ms',
        '_named_agents',
        '_roster',
        '_started_ms',
        '_started_with_others',
    )

    def __init__(self, *, clock: Clock, roster: Roster) -> None:
        self._clock = clock
        self._roster = roster
        self._started_ms = clock.now_ms()
        self._last_tick_ms = self._started_ms
        self._started_with_others = False
        #: Whether most agents have lost their flows together with the start of
        #: this node, or up to some seconds before it.
        self._flows_are_lost = False
        self._flows_were_lost = False
        #: Hosts of all agents that were known at some time while this node was
        #: starting, and the time at which the last one was added.
        self._named_agents: set[str] = set()
        self._agents_since_ms = self._started_ms

    @property
    def is_settled(self) -> bool:
        """Whether this node has run long enough to know all agents."""
        return self._uptime_ms > _SETTLING_MS

    @property
    def is_starting(self) -> bool:
        """Whether most agents may still be unknown."""
        return self._uptime_ms <= _STARTUP_MS

    @property
    def possible_holders(self) -> list[KnownNode]:
        """Agents of all services whose targets may hold any open flow."""
        now_ms = self._clock.now_ms()
        return [
            node
            for node in self._roster.all_agents()
            if node.may_hold_flows(now_ms)
        ]

    @property
    def knows_agents(self) -> bool:
        """Whether this node knows the agents that may hold an open flow.

        A node that has started alone knows them once it has settled. If most
        agents have started together with it, no client should wait for an
        agent that is still unknown.
        """
        return self.is_settled or self._started_with_others

    @property
    def proves_absence(self) -> bool:
        """Whether a flow that all possible holders deny is known to be lost.

        After a kill of all processes, targets live on with their flows, so a
        node waits until it has settled. A node that hears less than half of
        the agents may itself be cut off.
        """
        now_ms = self._clock.now_ms()
        agents = self._roster.all_agents()
        if not self.is_settled:
            if self._uptime_ms <= _LOSS_STARTUP_MS:
                return False
            knows_all = now_ms - self._agents_since_ms >= _LATE_KNOWN_MS
            is_lost_before = self._flows_were_lost and knows_all
            if not self._flows_are_lost and not is_lost_before:
                return False
            # An agent that does not answer hellos is soon left out of the
            # roster, although others that have named it may still hear it.
            if len(agents) < len(self._named_agents):
                return False
        heard = sum(node.is_fresh(now_ms) for node in agents)
        return heard * 2 >= max(len(agents), 1)

    def candidates(self, service: str, key: FlowKey) -> list[KnownNode]:
        """Returns the agents of a service that may hold a flow, by rank."""
        return rank_agents(
            key,
            [
                node
                for node in self.possible_holders
                if node.record.service == service
            ],
        )

    @property
    def services(self) -> list[str]:
        """Returns the services of all agents."""
        return sorted({node.record.service for node in self.possible_holders})

    def agent(self, host: str) -> KnownNode | None:
        """Returns the agent with a host; None if it is unknown."""
        return self._roster.get(host)

    def is_gone(self, host: str) -> bool:
        """Whether an agent has been silent for too long to hold flows."""
        node = self._roster.get(host)
        # An agent may confirm a flow before its first report has arrived.
        return node is not None and node.is_gone(self._clock.now_ms())

    def tick(self) -> None:
        """Updates the view, and treats it as new after a pause."""
        now_ms = self._clock.now_ms()
        if now_ms - self._last_tick_ms > _MAX_PAUSE_MS:
            self._started_ms = now_ms
            self._named_agents.clear()
        self._last_tick_ms = now_ms
        self._update_common_start(now_ms)

    @property
    def _uptime_ms(self) -> int:
        return self._clock.now_ms() - self._started_ms

    def _update_common_start(self, now_ms: int) -> None:
        """Checks whether most agents have started together with this node."""
        self._started_with_others = False
        self._flows_are_lost = False
        self._flows_were_lost = False
        if self.is_settled:
            return
        hosts = {node.host for node in self._roster.all_agents()}
        if not hosts <= self._named_agents:
            self._named_agents |= hosts
            self._agents_since_ms = now_ms
        uptime_ms = self._uptime_ms
        heard = [
            node for node in self._roster.all_agents() if node.is_fresh(now_ms)
        ]
        leads_ms = [node.uptime_ms(now_ms) - uptime_ms for node in heard]
        leads_of_new_ms = [
            lead_ms
            for node, lead_ms in zip(heard, leads_ms, strict=True)
            if node.has_new_target
        ]
        self._started_with_others = _are_most(
            leads_ms, _COMMON_START_MS, len(heard)
        )
        self._flows_are_lost = _are_most(
            leads_of_new_ms, _COMMON_START_MS, len(heard)
        )
        self._flows_were_lost = _are_most(
            leads_of_new_ms, _LATE_START_MS, len(heard)
        )


def _are_most(leads_ms: list[int], max_lead_ms: int, heard: int) -> bool:
    """Whether most agents heard have started about when this node has.

    Args:
        leads_ms: Times by which agents have started before this node.
        max_lead_ms: Maximum of such a time.
        heard: Number of agents heard.
    """
    started = sum(
        -_COMMON_START_MS <= lead_ms <= max_lead_ms for lead_ms in leads_ms
    )
    return started * 2 > heard
