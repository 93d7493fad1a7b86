"""The process of a flow balancer."""

from typing import TYPE_CHECKING, Final

from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flow_node.flow_process import FlowProcess
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.flow_balancer import FlowBalancer
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.flow_placement import FlowPlacement
from anvilthread.flows.node_directory import NodeDirectory

if TYPE_CHECKING:
    from anvilthread.flow_node.flow_metrics import FlowMetrics

#: Interval at which unconfirmed placements are checked.
_TICK_MS: Final = 20

#: Time from SIGTERM to the exit: routers remove a node after two failed
#: probes, and probe twice per second.
_WITHDRAWAL_MS: Final = 1800


class BalancerProcess:
    """Receives packets of clients and forwards them to agents.

    Args:
        settings: Settings of the process, with a data address.
        codec: Codec of the packets.
    """

    __slots__ = ('_balancer', '_codec', 'process')

    def __init__(
        self, *, settings: FlowNodeSettings, codec: FlowPacketCodec
    ) -> None:
        assert settings.data_address is not None
        self._codec = codec
        self.process = FlowProcess(
            settings=settings, packet_endpoint=settings.data_address
        )
        process = self.process
        self._balancer = FlowBalancer(
            clock=process.clock,
            network=process.network,
            codec=codec,
            routes=process.routes,
            placement=FlowPlacement(
                clock=process.clock,
                roster=process.roster,
                evacuations=process.routes.evacuations,
                counters=process.counters,
            ),
            fleet=FleetView(clock=process.clock, roster=process.roster),
            log=process.log,
            counters=process.counters,
        )

    def metrics(self) -> 'FlowMetrics':
        """Creates the metrics of this process."""
        # Imported late: the library is not needed before the first scrape.
        from anvilthread.flow_node.flow_metrics import FlowMetrics

        balancer = self._balancer
        return FlowMetrics(
            counters=self.process.counters,
            latencies={'anvilthread_placement_seconds': balancer.latencies},
            gauges={
                'anvilthread_flows': lambda: balancer.flow_count,
                'anvilthread_searches': lambda: balancer.search.open_searches,
                **self.process.gauges(),
            },
        )

    def start(
        self, source: ConfigurationSource, directory: NodeDirectory
    ) -> None:
        """Starts all tasks."""
        self.process.start(source, directory, self._balancer.handlers)
        self.process.serve_packets(
            self._codec.from_client, self._balancer.on_packet
        )
        self.process.roster.subscribe(self._balancer.on_node_started)
        self.process.tasks.run_periodically(_TICK_MS, self._balancer.tick)

    def wait(self) -> None:
        """Waits for SIGTERM; returns once the process may exit."""
        process = self.process
        process.stop_requested.wait()
        process.log.event('process_stopping', flows=self._balancer.flow_count)
        process.clock.sleep_ms(
            min(_WITHDRAWAL_MS, process.settings.stop_ms / 2)
        )
        process.leave(returns=False)
        process.log.event('process_stopped')
        process.log.flush()
