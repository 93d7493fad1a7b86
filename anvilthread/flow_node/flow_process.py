"""Shared part of the flow balancer and flow agent processes."""

import signal
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import gevent
from gevent.event import Event

from anvilthread.clock import SystemClock
from anvilthread.flow_node.datagram_socket import DatagramSocket
from anvilthread.flow_node.document_server import DocumentServer
from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flow_node.line_log import LineLog
from anvilthread.flow_node.message_dispatcher import MessageDispatcher
from anvilthread.flow_node.node_gauges import node_gauges
from anvilthread.flow_node.node_network import NodeNetwork
from anvilthread.flow_node.settings_watch import SettingsLoader, SettingsWatch
from anvilthread.flow_node.task_supervisor import TaskSupervisor
from anvilthread.flows.configuration_follower import ConfigurationFollower
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.directory_client import DirectoryClient
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.messages import MessageHandlers
from anvilthread.flows.node_directory import NodeDirectory
from anvilthread.flows.node_messages import Leaving
from anvilthread.flows.node_record import NodeRecord
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.store_era import StoreEra

#: Interval of the task that sends hello messages. Short, since a starting
#: node serves no flow until it has reached another node.
_HELLO_TICK_MS: Final = 50

#: Interval at which buffered log lines are written.
_LOG_FLUSH_MS: Final = 200

_STDOUT: Final = 1
_INCARNATION_BITS: Final = 40

#: Interval at which the names of evacuated sites and their retention, of 10 s,
#: are checked.
_EVACUATION_TICK_MS: Final = 500

PacketDecoder = Callable[[bytes], FlowPacket | None]


class FlowProcess:
    """Peers, configuration, log and signals of one process.

    Args:
        settings: Settings of the process.
        packet_endpoint: Host and port from which packets are sent, and at
            which those of clients (balancer) or the target (agent) arrive.
    """

    __slots__ = (
        'clock',
        'counters',
        'introducer',
        'log',
        'network',
        'packet_socket',
        'random',
        'roster',
        'routes',
        'stop_requested',
        'tasks',
        '_dispatcher',
        '_node_socket',
        '_settings_watch',
        '_store_era',
    )

    def __init__(
        self, *, settings: FlowNodeSettings, packet_endpoint: tuple[str, int]
    ) -> None:
        self.clock = SystemClock()
        self.random = Random()
        self.log = LineLog(
            node=settings.name, clock=self.clock, descriptor=_STDOUT
        )
        self.counters = FlowCounters()
        self.tasks = TaskSupervisor(
            clock=self.clock, log=self.log, counters=self.counters
        )
        self.stop_requested = Event()
        self._node_socket = DatagramSocket(
            endpoint=(settings.host, settings.node_port), log=self.log
        )
        self.packet_socket = DatagramSocket(
            endpoint=packet_endpoint, log=self.log
        )
        self.network = NodeNetwork(
            node_socket=self._node_socket,
            packet_socket=self.packet_socket,
            node_port=settings.node_port,
            client_port=settings.client_port,
            target=settings.target_address,
        )
        self.roster = Roster(
            clock=self.clock,
            local_node=_build_node_record(
                settings, self.random.getrandbits(_INCARNATION_BITS)
            ),
            log=self.log,
        )
        self.routes = RouteHolder(
            clock=self.clock,
            log=self.log,
            evacuations=EvacuationHolder(
                clock=self.clock,
                log=self.log,
                is_enabled=settings.evacuation_ms is not None,
            ),
        )
        self._store_era = StoreEra(log=self.log)
        self.introducer = Introducer(
            clock=self.clock,
            random=self.random,
            network=self.network,
            roster=self.roster,
            routes=self.routes,
            store_era=self._store_era,
        )
        self.introducer.add_contacts(settings.contacts)
        self._settings_watch = SettingsWatch(
            settings=settings, introducer=self.introducer, log=self.log
        )
        self._dispatcher = MessageDispatcher(
            roster=self.roster,
            introducer=self.introducer,
            log=self.log,
            counters=self.counters,
        )

    @property
    def settings(self) -> FlowNodeSettings:
        """Settings of the process."""
        return self._settings_watch.settings

    @property
    def is_ready(self) -> bool:
        """Whether configuration and peers are known and it is not stopping."""
        return (
            self.routes.is_loaded
            and not self.roster.is_alone
            and not self.stop_requested.is_set()
        )

    def start(
        self,
        source: ConfigurationSource,
        directory: NodeDirectory,
        handlers: MessageHandlers,
    ) -> None:
        """Starts the tasks that both roles share.

        Args:
            source: Reads the configuration.
            directory: List of nodes, used while no peer is known.
            handlers: Handle the messages about flows.
        """
        settings = self.settings
        follower = ConfigurationFollower(
            clock=self.clock,
            random=self.random,
            source=source,
            routes=self.routes,
            roster=self.roster,
            introducer=self.introducer,
            store_era=self._store_era,
            log=self.log,
        )
        directory_client = DirectoryClient(
            clock=self.clock,
            random=self.random,
            directory=directory,
            roster=self.roster,
            introducer=self.introducer,
            store_era=self._store_era,
            log=self.log,
        )
        document_server = DocumentServer(
            endpoint=(settings.host, settings.node_port), routes=self.routes
        )
        document_server.start()
        self._handle_signals()
        self._dispatcher.connect(handlers, follower)
        self.tasks.run(
            partial(self._node_socket.serve, self._dispatcher.dispatch)
        )
        self.tasks.run(follower.follow_store)
        self.tasks.run(follower.follow_peers)
        self.tasks.run(directory_client.discover)
        self.tasks.run(directory_client.register)
        self._run_periodic_tasks()
        self.log.event(
            'process_started',
            role=settings.role.name.lower(),
            host=settings.host,
            service=settings.service,
            contacts=','.join(settings.contacts),
            incarnation=self.roster.local_node.incarnation,
        )

    def observe_store_era(self, era: int) -> None:
        """Records the era that an answer of the store has named."""
        self._store_era.observe(era, 'store')

    def serve_packets(
        self, decode: PacketDecoder, handle: Callable[[FlowPacket], None]
    ) -> None:
        """Starts the task that handles packets of clients or of the target.

        Args:
            decode: Decodes a packet; None if it is malformed.
            handle: Handles each decoded packet.
        """
        receive = partial(self._receive_packet, decode, handle)
        self.tasks.run(partial(self.packet_socket.serve, receive))

    def watch_settings(self, load: SettingsLoader) -> None:
        """Reads the settings again on SIGHUP and at an interval, forever.

        Args:
            load: Reads the settings file.
        """
        self._settings_watch.follow(load)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Returns the gauges that both roles export."""
        return node_gauges(
            routes=self.routes, roster=self.roster, store_era=self._store_era
        )

    def leave(self, *, returns: bool) -> None:
        """Announces to every node that this process stops.

        Args:
            returns: Whether this node will return: its target keeps its flows
                meanwhile.
        """
        message = Leaving(node=self.roster.local_node, returns=returns)
        for node in self.roster.nodes:
            self.network.send_to_node(node.host, message)

    def _receive_packet(
        self,
        decode: PacketDecoder,
        handle: Callable[[FlowPacket], None],
        content: bytes,
        _host: str,
    ) -> None:
        packet = decode(content)
        if packet is None:
            self.counters.add('packets_malformed')
        else:
            handle(packet)

    def _handle_signals(self) -> None:
        gevent.signal_handler(signal.SIGTERM, self.stop_requested.set)
        gevent.signal_handler(
            signal.SIGHUP, self._settings_watch.request_reload
        )

    def _run_periodic_tasks(self) -> None:
        self.tasks.run_periodically(_HELLO_TICK_MS, self.introducer.tick)
        self.tasks.run_periodically(_LOG_FLUSH_MS, self.log.flush)
        if not self.routes.evacuations.is_enabled:
            return
        # Exported as 0 as long as it is.
        self.counters.add('flow_placed_evacuated', 0)
        self.tasks.run_periodically(_EVACUATION_TICK_MS, self._check_sites)

    def _check_sites(self) -> None:
        self.routes.evacuations.tick(lambda: self.roster.sites)


def _build_node_record(
    settings: FlowNodeSettings, incarnation: int
) -> NodeRecord:
    return NodeRecord(
        host=settings.host,
        role=settings.role,
        site=settings.site,
        service=settings.service,
        incarnation=incarnation,
    )
