"""What the balancer and the agent of flows have in common."""

import signal
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

import gevent
import msgspec
from gevent.event import Event
from result import Err, Result

from anvilthread.clock import SystemClock
from anvilthread.error import AnvilthreadError
from anvilthread.flow_node.datagram_port import DatagramPort
from anvilthread.flow_node.document_port import DocumentPort
from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flow_node.line_log import LineLog
from anvilthread.flow_node.node_network import NodeNetwork
from anvilthread.flows.configuration_follower import ConfigurationFollower
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.directory_user import DirectoryUser
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.message_codec import decode_message
from anvilthread.flows.messages import MessageHandlers
from anvilthread.flows.node_directory import NodeDirectory
from anvilthread.flows.node_messages import Leaving
from anvilthread.flows.node_record import NodeRecord
from anvilthread.flows.peer_messages import PeerMessages
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder

#: Period of the task that greets nodes. Short, since no flow is served until
#: a starting node has met another.
_GREETING_MS: Final = 50

#: Period in which collected log lines are written.
_FLUSH_MS: Final = 200

_STDOUT: Final = 1
_INCARNATION_BITS: Final = 40

#: Time between two readings of the settings file without a signal.
_SETTINGS_PERIOD_S: Final = 30

_MS_PER_SECOND: Final = 1000

PacketReader = Callable[[bytes], FlowPacket | None]
SettingsLoader = Callable[[], Result[FlowNodeSettings, AnvilthreadError]]


class FlowProcess:
    """Roster, configuration, log and signals of one process.

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
        'packets',
        'random',
        'reloading',
        'roster',
        'routes',
        'settings',
        'stopping',
        '_follower',
        '_handlers',
        '_nodes',
        '_peers',
    )

    def __init__(
        self, *, settings: FlowNodeSettings, packet_endpoint: tuple[str, int]
    ) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.random = Random()
        self.log = LineLog(
            node=settings.name, clock=self.clock, descriptor=_STDOUT
        )
        self.counters = FlowCounters()
        self.stopping = Event()
        #: Set by SIGHUP; cleared once the settings have been read again.
        self.reloading = Event()
        self._nodes = DatagramPort(
            endpoint=(settings.host, settings.node_port), log=self.log
        )
        self.packets = DatagramPort(endpoint=packet_endpoint, log=self.log)
        self.network = NodeNetwork(
            nodes=self._nodes,
            packets=self.packets,
            node_port=settings.node_port,
            client_port=settings.client_port,
            target=settings.target_address,
        )
        self.roster = Roster(
            clock=self.clock, own=self._own_record(), log=self.log
        )
        self.routes = RouteHolder(clock=self.clock, log=self.log)
        self.introducer = Introducer(
            clock=self.clock,
            random=self.random,
            network=self.network,
            roster=self.roster,
            routes=self.routes,
        )
        self.introducer.add_contacts(settings.contacts)
        self._peers = PeerMessages(
            roster=self.roster,
            introducer=self.introducer,
            on_version=self._note,
            log=self.log,
        )
        self._follower: ConfigurationFollower | None = None
        self._handlers: MessageHandlers = {}

    @property
    def is_ready(self) -> bool:
        """Whether configuration and peers are known and no stop is due."""
        return (
            self.routes.is_loaded
            and not self.roster.is_alone
            and not self.stopping.is_set()
        )

    def start(
        self,
        source: ConfigurationSource,
        directory: NodeDirectory,
        handlers: MessageHandlers,
    ) -> None:
        """Starts the common tasks.

        Args:
            source: Where the configuration is read.
            directory: List of nodes for those that know nobody.
            handlers: Take the messages about flows.
        """
        settings = self.settings
        self._follower = ConfigurationFollower(
            clock=self.clock,
            random=self.random,
            source=source,
            routes=self.routes,
            roster=self.roster,
            introducer=self.introducer,
            log=self.log,
        )
        user = DirectoryUser(
            clock=self.clock,
            random=self.random,
            directory=directory,
            roster=self.roster,
            introducer=self.introducer,
            log=self.log,
        )
        documents = DocumentPort(
            endpoint=(settings.host, settings.node_port), routes=self.routes
        )
        documents.start()
        gevent.signal_handler(signal.SIGTERM, self.stopping.set)
        gevent.signal_handler(signal.SIGHUP, self.reloading.set)
        self._handlers = handlers
        gevent.spawn(self._nodes.serve, self._dispatch)
        gevent.spawn(self._follower.follow_store)
        gevent.spawn(self._follower.follow_peers)
        gevent.spawn(user.find)
        gevent.spawn(user.register)
        self.every(_GREETING_MS, self.introducer.tick)
        self.every(_FLUSH_MS, self.log.flush)
        self.log.event(
            'process_started',
            role=settings.role.name.lower(),
            host=settings.host,
            service=settings.service,
            contacts=','.join(settings.contacts),
            incarnation=self.roster.own.incarnation,
        )

    def serve_packets(
        self, read: PacketReader, handle: Callable[[FlowPacket], None]
    ) -> None:
        """Hands the packets of clients or of the target on, forever.

        Args:
            read: Reads a packet; None if it is malformed.
            handle: Takes each packet.
        """
        receive = partial(self._receive_packet, read, handle)
        gevent.spawn(self.packets.serve, receive)

    def every(self, period_ms: int, run: Callable[[], None]) -> None:
        """Starts a task that repeats."""
        gevent.spawn(self._repeat, period_ms, run)

    def watch_settings(self, load: SettingsLoader) -> None:
        """Reads the settings again after SIGHUP and now and then, forever.

        Only the contacts can change without a restart; a change of another
        field is logged, and the running settings stay.

        Args:
            load: Reads the settings file.
        """
        while True:
            is_signalled = self.reloading.wait(_SETTINGS_PERIOD_S)
            self.reloading.clear()
            loaded = load()
            if isinstance(loaded, Err):
                self.log.warning(
                    'settings_refused',
                    reason=loaded.err_value.reason,
                    remedy=loaded.err_value.remedy,
                )
            elif is_signalled or loaded.ok_value != self.settings:
                self._reload(loaded.ok_value)

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Returns the present values that both roles show."""
        return {
            'anvilthread_configuration_version': lambda: (
                self.routes.table.version
            ),
            'anvilthread_configuration_check_age_seconds': lambda: (
                self.routes.checked_ms / _MS_PER_SECOND
            ),
            'anvilthread_nodes_known': lambda: len(self.roster.nodes),
        }

    def leave(self, *, returns: bool) -> None:
        """Tells every node that this process stops.

        Args:
            returns: Whether the target keeps its flows meanwhile.
        """
        message = Leaving(node=self.roster.own, returns=returns)
        for node in self.roster.nodes:
            self.network.send_node(node.host, message)

    def _receive_packet(
        self,
        read: PacketReader,
        handle: Callable[[FlowPacket], None],
        content: bytes,
        _host: str,
    ) -> None:
        packet = read(content)
        if packet is None:
            self.counters.add('packets_malformed')
        else:
            handle(packet)

    def _repeat(self, period_ms: int, run: Callable[[], None]) -> None:
        while True:
            try:
                run()
            except Exception as error:  # noqa: BLE001
                # The next round must still come.
                self.log.warning(
                    'periodic_task_failed',
                    task=run.__qualname__,
                    reason=repr(error),
                    remedy='report this line to the maintainers',
                )
            self.clock.sleep_ms(period_ms)

    def _reload(self, settings: FlowNodeSettings) -> None:
        self.introducer.add_contacts(settings.contacts)
        self.settings = msgspec.structs.replace(
            self.settings, contacts=settings.contacts
        )
        self.log.event(
            'settings_reloaded',
            contacts=','.join(settings.contacts),
            needs_restart=self.settings != settings,
        )

    def _own_record(self) -> NodeRecord:
        settings = self.settings
        return NodeRecord(
            host=settings.host,
            role=settings.role,
            site=settings.site,
            service=settings.service,
            incarnation=self.random.getrandbits(_INCARNATION_BITS),
        )

    def _dispatch(self, content: bytes, host: str) -> None:
        try:
            message = decode_message(content)
        except msgspec.DecodeError as error:
            self.counters.add('messages_malformed')
            self.log.event('message_malformed', sender=host, reason=str(error))
            return
        if self._peers.take(host, message):
            return
        handle = self._handlers.get(type(message))
        if handle is None:
            self.counters.add('messages_misdirected')
        else:
            handle(host, message)

    def _note(self, host: str, version: int, checked_ms: int) -> None:
        if self._follower is not None:
            self._follower.on_version(host, version, checked_ms)
