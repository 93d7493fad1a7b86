"""The choice of the agent that searches for the holder of a flow."""

import zlib
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.roster import Roster
from anvilthread.routing.rendezvous import score

#: Time after its start within which a node may not know all agents.
_SETTLING_MS: Final = 3000

#: Time after its start within which a node may know few agents. Agents report
#: to a balancer at its first hello; after a common start, the first flows are
#: placed 0.2 s after the start of a process.
_STARTUP_MS: Final = 800


class RendezvousFinder:
    """Chooses an agent per flow by rendezvous hashing.

    All balancers that know the same agents choose the same one.

    Args:
        clock: Clock for the age of reports.
        roster: The agents of each service.
    """

    __slots__ = ('_clock', '_roster', '_started_ms')

    def __init__(self, *, clock: Clock, roster: Roster) -> None:
        self._clock = clock
        self._roster = roster
        self._started_ms = clock.now_ms()

    @property
    def is_settled(self) -> bool:
        """Whether this node has run long enough to know all agents."""
        return self._clock.now_ms() - self._started_ms > _SETTLING_MS

    @property
    def is_starting(self) -> bool:
        """Whether most agents may still be unknown."""
        return self._clock.now_ms() - self._started_ms <= _STARTUP_MS

    def reachable_agents(self, service: str) -> list[KnownNode]:
        """Returns the agents of a service that can be asked to search."""
        return [
            node
            for node in self._roster.present_agents(service)
            if node.last_seen_ms is not None and not node.is_leaving
        ]

    def choose(self, agents: list[KnownNode], key: FlowKey) -> str | None:
        """Returns the host of the agent to ask.

        Args:
            agents: Agents of the flow's service, as returned by
                :meth:`reachable_agents`.
            key: The flow.

        Returns:
            The host, or None if there are no agents.
        """
        now_ms = self._clock.now_ms()
        live = [node for node in agents if node.is_fresh(now_ms)]
        key_hash = zlib.crc32(key)
        best = max(
            live or agents,
            key=lambda node: score(key_hash, zlib.crc32(node.host.encode())),
            default=None,
        )
        return None if best is None else best.host

    def is_gone(self, host: str) -> bool:
        """Whether an agent has been silent for too long to hold flows."""
        node = self._roster.get(host)
        # An agent may confirm a flow before its first report has arrived.
        return node is not None and node.is_gone(self._clock.now_ms())
