"""Resets of flows at their clients."""

from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.telemetry.log import Log


class FlowResets:
    """Sends the resets of a balancer, and logs the reason of each.

    Args:
        network: Sends packets to clients.
        codec: Codec of the packets.
        routes: Configuration in force, for the log.
        log: Receives one line per reset.
        counters: Counts of resets.
    """

    __slots__ = ('_codec', '_counters', '_log', '_network', '_routes')

    def __init__(
        self,
        *,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        routes: RouteHolder,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._network = network
        self._codec = codec
        self._routes = routes
        self._log = log
        self._counters = counters

    def send(
        self, key: FlowKey, acknowledged: int, reason: str, **fields: object
    ) -> None:
        """Resets a flow.

        Args:
            key: The flow.
            acknowledged: Last stream position that the client has
                acknowledged.
            reason: Reason for the log.
            fields: Further fields for the log.
        """
        content = self._codec.reset(key, acknowledged)
        self._network.send_to_client(key, content)
        self._counters.add('flow_reset')
        self._log.event(
            'flow_reset',
            flow=flow_name(key),
            reason=reason,
            version=self._routes.table.version,
            **fields,
        )
