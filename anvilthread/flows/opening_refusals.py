"""Refusals of opening packets by an agent."""

from typing import Final

from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.packet_messages import Refused
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.telemetry.log import Log

#: Reasons of refusals that are counted one by one.
_COUNTED_REASONS: Final = frozenset(('busy', 'no_room', 'warming_up'))


class OpeningRefusals:
    """Returns opening packets to their balancers, and logs each reason.

    Args:
        network: Sends messages.
        routes: Configuration in force.
        log: Receives one line per refusal.
        counters: Counts of refusals.
    """

    __slots__ = ('_counters', '_log', '_network', '_routes')

    def __init__(
        self,
        *,
        network: FlowNetwork,
        routes: RouteHolder,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._network = network
        self._routes = routes
        self._log = log
        self._counters = counters

    def send(
        self,
        host: str,
        key: FlowKey,
        content: bytes,
        reason: str,
        wait_ms: int = 0,
    ) -> None:
        """Returns an opening packet to its balancer.

        Args:
            host: Host of the balancer.
            key: The flow.
            content: The packet.
            reason: Why the flow is refused.
            wait_ms: Expected wait of the packet at this agent.
        """
        refused = Refused(
            packet=content,
            reason=reason,
            version=self._routes.table.version,
            wait_ms=wait_ms,
        )
        self._network.send_to_node(host, refused)
        self._counters.add('flow_refused')
        if reason in _COUNTED_REASONS:
            self._counters.add(f'flow_refused_{reason}')
        self._log.event(
            'flow_refused',
            flow=flow_name(key),
            reason=reason,
            balancer=host,
        )
