"""Messages with which a balancer places flows on agents."""

import msgspec

from anvilthread.clock import Clock
from anvilthread.flows.balancer_flow import BalancerFlow
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.packet_messages import Place
from anvilthread.flows.route_holder import RouteHolder


class PlaceSender:
    """Sends opening packets to the agents of their flows.

    Args:
        clock: Source of time.
        network: Sends messages.
        routes: Configuration in force.
    """

    __slots__ = ('_clock', '_network', '_routes')

    def __init__(
        self, *, clock: Clock, network: FlowNetwork, routes: RouteHolder
    ) -> None:
        self._clock = clock
        self._network = network
        self._routes = routes

    def send(self, opening_packet: bytes, flow: BalancerFlow) -> None:
        """Sends an opening packet, or a copy of one, to the agent of a flow."""
        message = Place(
            packet=opening_packet,
            service=flow.service,
            version=self._routes.table.version,
        )
        attempts = flow.attempts
        if attempts is not None:
            message = msgspec.structs.replace(
                message,
                waited_ms=max(self._clock.now_ms() - attempts.sent_ms, 0),
                max_wait_ms=attempts.max_wait_ms,
            )
        self._network.send_to_node(flow.agent, message)
