"""The agent daemon."""

from typing import Final

from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from anvilthread.agent.agent_admission import AgentAdmission
from anvilthread.agent.agent_metrics import AgentMetrics
from anvilthread.agent.client_connection import ClientConnection
from anvilthread.agent.connection_id_issuer import ConnectionIdIssuer
from anvilthread.agent.load_reporter import REPORT_PERIOD_MS, LoadReporter
from anvilthread.agent.member_balancers import MemberBalancers
from anvilthread.agent.member_peers import MemberPeers
from anvilthread.agent.operations import AgentOperations
from anvilthread.agent.packet_server import PacketServer
from anvilthread.agent.request_pipeline import RequestPipeline
from anvilthread.agent.request_streams import RequestStreams
from anvilthread.configuration.configuration import Configuration
from anvilthread.configuration.limits import Limits
from anvilthread.configuration.service import Service
from anvilthread.daemon.configuration_task import ConfigurationTask
from anvilthread.daemon.node import Node
from anvilthread.daemon.packet_metrics import PacketMetrics
from anvilthread.membership import Role
from anvilthread.outcomes import RequestClassifier
from anvilthread.routing.admission_bound import AdmissionBound
from anvilthread.routing.connection_id_codec import CONNECTION_ID_SIZE
from anvilthread.routing.load_report_codec import LoadReportCodec
from anvilthread.routing.slow_start import SlowStart
from anvilthread.settings import AgentSettings, Keys

_IDLE_TIMEOUT_S: Final = 60
_FLOW_CONTROL_WINDOW_BYTES: Final = 1 << 20
_DRAIN_POLL_MS: Final = 100
#: Wait for queued packets to be sent before the next step of a stop.
_FLUSH_MS: Final = 200


class Agent:
    """Connects the data path, requests, membership and configuration.

    Args:
        settings: Settings of the process.

    Raises:
        AnvilthreadError: If keys, certificate or configuration are unusable.
        OSError: If an address cannot be bound.
    """

    __slots__ = (
        '_admission_bound',
        '_balancers',
        '_connection_admission',
        '_metrics',
        '_node',
        '_peers',
        '_pipeline',
        '_report_codec',
        '_server',
        '_services_by_number',
        '_settings',
    )

    def __init__(self, *, settings: AgentSettings) -> None:
        self._settings = settings
        self._node = Node(
            settings=settings, role=Role.AGENT, slots=settings.slots
        )
        node = self._node
        self._services_by_number: dict[int, Service] = {}
        self._report_codec = LoadReportCodec()
        self._metrics = AgentMetrics(metrics=node.metrics, view=node.view)
        self._balancers = MemberBalancers(membership=node.membership)
        self._peers = MemberPeers(clock=node.clock, membership=node.membership)
        self._pipeline = RequestPipeline(
            node=node, settings=settings, peers=self._peers
        )
        self._admission_bound = AdmissionBound(
            clock=node.clock, slots=settings.slots
        )
        self._connection_admission = AgentAdmission(
            bound=self._admission_bound,
            slow_start=SlowStart(clock=node.clock),
            admission=self._pipeline.admission,
            peers=self._peers,
            max_connections=Limits().connections,
        )
        self._server = self._build_server()

    def run(self) -> None:
        """Serves clients until a stop is requested."""
        node = self._node
        node.subscribe_keys(self._use_keys)
        PacketMetrics(metrics=node.metrics, counters=self._server.counters)
        node.metrics.before_render(self._export_load)
        node.start(
            AgentOperations(
                node=node,
                server=self._server,
                admission=self._pipeline.admission,
                peers=self._peers,
                start_drain=self.drain,
            )
        )
        node.spawn(self._server.run)
        node.spawn(self._pipeline.run)
        reporter = LoadReporter(
            server=self._server,
            admission=self._pipeline.admission,
            connection_admission=self._connection_admission,
            balancers=self._balancers,
            peers=self._peers,
            incarnation=node.incarnation,
        )
        node.run_periodically(REPORT_PERIOD_MS, reporter.send)
        node.view.subscribe(self._apply_configuration)
        ConfigurationTask(node=node).start()
        node.stop_requested.wait()
        self._stop()

    def drain(self, operator: str) -> None:
        """Stops assigning new work to the target; connections stay open."""
        if self._pipeline.admission.draining:
            return
        self._node.log.event('drain_started', operator=operator)
        self._pipeline.admission.drain()
        self._node.membership.announce_draining()
        self._node.spawn(self._report_empty)

    def _build_server(self) -> PacketServer:
        node = self._node
        streams = RequestStreams(
            clock=node.clock,
            classifier=RequestClassifier(
                clock=node.clock, rules=self._services_by_number
            ),
            handler=self._pipeline.handler,
            on_ended=self._metrics.request_ended,
        )
        return PacketServer(
            clock=node.clock,
            address=self._settings.data,
            services=frozenset(),
            configuration=_quic_configuration(self._settings),
            issuer=ConnectionIdIssuer(
                codec=node.connection_id_codec(),
                agent=self._settings.data,
                incarnation=node.incarnation,
            ),
            encapsulation=node.encapsulation_codec(),
            balancers=self._balancers,
            admission=self._connection_admission,
            handler=streams,
            on_report=self._receive_report,
            on_opened=self._metrics.connection_opened,
            on_closed=self._on_connection_closed,
        )

    def _on_connection_closed(self, connection: ClientConnection) -> None:
        self._metrics.connection_closed(connection)
        self._node.log.event(
            'connection_closed',
            service=self._node.view.name_of(connection.service),
            client=connection.client,
            reason=connection.termination,
        )

    def _apply_configuration(self, configuration: Configuration) -> None:
        site_services = configuration.carried_at(self._settings.site)
        served = {
            name: service
            for name, service in site_services.items()
            if name in self._settings.services
        }
        self._services_by_number.clear()
        self._services_by_number.update(
            {service.number: service for service in served.values()}
        )
        self._server.services = frozenset(self._services_by_number)
        self._connection_admission.max_connections = (
            configuration.limits.connections
        )
        self._pipeline.use_services(served.values())
        self._node.membership.describe(
            services=tuple(sorted(self._services_by_number)),
            slots=self._settings.slots,
        )
        for name in set(self._settings.services) - set(served):
            self._node.log.warning(
                'service_not_carried',
                service=name,
                site=self._settings.site,
                remedy='add the site to the service, or drop the service '
                'from the settings of this agent',
            )

    def _receive_report(self, payload: bytes, sender: tuple[str, int]) -> None:
        report = self._report_codec.decode(payload)
        if report is None or report.agent.endpoint != sender:
            return
        self._peers.loads.accept(report)
        self._admission_bound.accept(report)

    def _export_load(self) -> None:
        self._metrics.set_load(
            self._pipeline.admission.load, self._server.connections
        )

    def _use_keys(self, keys: Keys) -> None:
        self._pipeline.use_keys(keys)
        self._reload_certificate()
        self._server.use_keys(
            self._node.connection_id_codec(),
            self._node.encapsulation_codec(),
        )

    def _reload_certificate(self) -> None:
        try:
            configuration = _quic_configuration(self._settings)
        except (OSError, ValueError) as error:
            self._node.log.warning(
                'certificate_reload_failed',
                error=error,
                remedy='correct the files; the previous certificate stays in '
                'use',
            )
            return
        self._server.use_configuration(configuration)

    def _report_empty(self) -> None:
        while self._server.connections:
            self._node.clock.sleep_ms(_DRAIN_POLL_MS)
        self._node.log.event('drain_empty', remedy='the VM can be stopped now')

    def _stop(self) -> None:
        self.drain('stop')
        end_ms = self._node.clock.now_ms() + self._settings.stop_deadline_ms
        interrupted = self._pipeline.admission.stop()
        # Requests that run at another agent hold no slot of this one, so the
        # open streams are counted.
        while self._count_open_streams() and self._node.clock.now_ms() < end_ms:
            self._node.clock.sleep_ms(_DRAIN_POLL_MS)
        # The last packets of answers that have just ended are still queued.
        self._node.clock.sleep_ms(_FLUSH_MS)
        for connection in self._server.table.connections():
            connection.close('agent stopped')
        self._node.clock.sleep_ms(_FLUSH_MS)
        self._node.log.event('agent_stopped', interrupted=interrupted)
        self._node.shut_down()

    def _count_open_streams(self) -> int:
        return sum(
            connection.open_streams
            for connection in self._server.table.connections()
        )


def run(settings: AgentSettings) -> None:
    """Runs an agent until it is stopped."""
    Agent(settings=settings).run()


def _quic_configuration(settings: AgentSettings) -> QuicConfiguration:
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=CONNECTION_ID_SIZE,
        idle_timeout=_IDLE_TIMEOUT_S,
        max_data=_FLOW_CONTROL_WINDOW_BYTES,
        max_stream_data=_FLOW_CONTROL_WINDOW_BYTES,
    )
    configuration.load_cert_chain(
        settings.certificate, settings.certificate_key
    )
    return configuration
