"""The balancer daemon."""

from typing import Final

from anvilthread.address import Address
from anvilthread.balancer.forwarder import Forwarder
from anvilthread.balancer.listener_manager import ListenerManager
from anvilthread.balancer.lost_agents import LostAgents
from anvilthread.balancer.member_candidates import MemberCandidates
from anvilthread.balancer.operations import BalancerOperations
from anvilthread.balancer.synchronised_placer import SynchronisedPlacer
from anvilthread.daemon.configuration_task import ConfigurationTask
from anvilthread.daemon.node import Node
from anvilthread.daemon.packet_metrics import PacketMetrics
from anvilthread.membership import Role
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_report_codec import LoadReportCodec
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.subset import Subset
from anvilthread.settings import BalancerSettings, Keys

#: Time for which a stopping balancer keeps forwarding the packets that the
#: network fabric still sends it.
_WITHDRAWAL_MS: Final = 2000


class Balancer:
    """Wires forwarder, placement, membership and configuration.

    Args:
        settings: Settings of the process.

    Raises:
        AnvilthreadError: If a key file or local configuration is unusable.
        OSError: If an address cannot be bound.
    """

    __slots__ = (
        '_configuration',
        '_forwarder',
        '_load_table',
        '_node',
        '_report_codec',
        '_settings',
    )

    def __init__(self, *, settings: BalancerSettings) -> None:
        self._settings = settings
        self._node = Node(settings=settings, role=Role.BALANCER)
        self._report_codec = LoadReportCodec()
        self._load_table = LoadTable(clock=self._node.clock)
        self._forwarder = self._build_forwarder(settings.data)
        self._configuration = ConfigurationTask(node=self._node)

    def run(self) -> None:
        """Forwards packets until a stop is requested."""
        node = self._node
        listen_ip = self._settings.listen_ip
        listener_manager = ListenerManager(
            node=node,
            forwarder=self._forwarder,
            listen_ip=None if listen_ip is None else str(listen_ip),
        )
        node.subscribe_keys(self._update_keys)
        PacketMetrics(metrics=node.metrics, counters=self._forwarder.counters)
        node.start(BalancerOperations(node=node, loads=self._load_table))
        node.spawn(self._forwarder.run_answers)
        node.view.subscribe(listener_manager.apply)
        self._configuration.start()
        node.stop_requested.wait()
        self._stop()

    def _build_forwarder(self, address: Address) -> Forwarder:
        node = self._node
        placement = LoadAwarePlacement(
            clock=node.clock,
            table=self._load_table,
            subset=Subset(balancer=address),
        )
        MemberCandidates(table=node.membership.table, placement=placement)
        return Forwarder(
            address=address,
            codec=node.connection_id_codec(),
            encapsulation=node.encapsulation_codec(),
            placer=SynchronisedPlacer(
                membership=node.membership, placement=placement
            ),
            agents=LostAgents(membership=node.membership),
            on_report=self._receive_report,
        )

    def _receive_report(self, wire: bytes, sender: tuple[str, int]) -> None:
        report = self._report_codec.decode(wire)
        if report is not None and report.agent.endpoint == sender:
            self._load_table.accept(report)

    def _update_keys(self, _: Keys) -> None:
        self._forwarder.use_keys(
            self._node.connection_id_codec(),
            self._node.encapsulation_codec(),
        )

    def _stop(self) -> None:
        self._node.log.event('withdrawal_started', wait_ms=_WITHDRAWAL_MS)
        self._node.membership.announce_draining()
        self._node.clock.sleep_ms(_WITHDRAWAL_MS)
        self._node.shut_down()


def run(settings: BalancerSettings) -> None:
    """Runs a balancer until it is stopped."""
    Balancer(settings=settings).run()


__all__ = ('Balancer', 'run')
