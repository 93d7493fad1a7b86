"""Parts common to both daemons."""

import sys
from collections.abc import Callable
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Final

import gevent
from gevent.event import Event
from gevent.pool import Group
from result import Err

from anvilthread.clock import SystemClock
from anvilthread.daemon.configuration_view import ConfigurationView
from anvilthread.membership import (
    Member,
    MembershipNode,
    MembershipSettings,
    MemberState,
    Role,
)
from anvilthread.operation import NodeOperations, NodeStatus, OperationServer
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.settings import KeyFile, Keys, NodeSettings
from anvilthread.telemetry.absl_log import AbslLog
from anvilthread.telemetry.health import Health
from anvilthread.telemetry.log_sink import LogSink
from anvilthread.telemetry.metrics import Metrics
from anvilthread.telemetry.telemetry_server import TelemetryServer
from anvilthread.transport import (
    ChannelName,
    Channels,
    ZmqTransport,
)
from anvilthread.transport.udp_transport import UdpTransport

_MS_PER_SECOND: Final = 1000
_LOG_FLUSH_MS: Final = 1000
_HEALTH_PERIOD_MS: Final = 200

#: Conditions that hold before a node is ready for traffic.
READINESS_CONDITIONS: Final = (
    'membership_synchronised',
    'configuration_in_force',
)


class Node:
    """Clock, keys, logs, metrics, membership and channels of one process.

    Args:
        settings: Settings of the process.
        role: Balancer or agent.
        slots: Slots of the target; 0 on a balancer.

    Raises:
        SettingsError: If the key file cannot be used.
    """

    def __init__(
        self, *, settings: NodeSettings, role: Role, slots: int = 0
    ) -> None:
        self._settings = settings
        self._role = role
        self._tasks = Group()
        self._stop_requested = Event()
        self._key_listeners: list[Callable[[Keys], None]] = []
        self.clock = SystemClock()
        self.random = Random()
        self.started_ms = self.clock.now_ms()
        self._sink = LogSink(stream=sys.stderr)
        self.log = AbslLog(
            node=settings.name, clock=self.clock, sink=self._sink
        )
        self._key_file = KeyFile(path=settings.keys)
        self.keys: Keys = _load_keys(self._key_file)
        self.metrics = Metrics()
        self.health = Health(conditions=READINESS_CONDITIONS)
        self.view = ConfigurationView()
        self._revision_gauge = self.metrics.gauge(
            'anvilthread_configuration_revision',
            'Revision of the configuration in force; 0 for local files.',
        )
        self.metrics.before_render(self._export_revision)
        # Nothing is stored on disk, so the wall clock gives a new process at
        # the same address a higher incarnation than the previous one.
        self.incarnation = self.clock.wall_ms() // _MS_PER_SECOND
        self._control = UdpTransport(
            address=settings.control, keys=self.keys.datagram.ordered
        )
        self._requests = ZmqTransport(
            address=settings.request,
            keys=self.keys.curve.ordered,
            clock=self.clock,
        )
        self.membership = self._create_membership(slots)
        self.channels = Channels(transport=self._requests)

    @property
    def settings(self) -> NodeSettings:
        """Settings of the process."""
        return self._settings

    @property
    def stop_requested(self) -> Event:
        """Set by SIGTERM and SIGINT."""
        return self._stop_requested

    def connection_id_codec(self) -> ConnectionIdCodec:
        """Builds the codec from the keys in force."""
        ring = self.keys.connection_id
        return ConnectionIdCodec(keys=dict(ring.keys), active=ring.active)

    def encapsulation_codec(self) -> EncapsulationCodec:
        """Builds the codec from the keys in force."""
        return EncapsulationCodec(keys=self.keys.datagram.ordered)

    def subscribe_keys(self, listener: Callable[[Keys], None]) -> None:
        """Calls a listener after every reload of the key file."""
        self._key_listeners.append(listener)

    def spawn(self, run: Callable[..., object], *arguments: object) -> None:
        """Starts a task that ends with the process; its failure ends both."""
        self._tasks.spawn(self._run_or_exit, run, *arguments)

    def run_periodically(self, period_ms: int, run: Callable[[], None]) -> None:
        """Starts a task that runs a function once per period."""
        self.spawn(self._repeat, period_ms, run)

    def start(self, operations: NodeOperations) -> None:
        """Starts membership, telemetry and operations."""
        self.membership.start()
        channel = self.channels.channel(ChannelName.OPERATOR)
        server = OperationServer(
            transport=channel, operations=operations, log=self.log
        )
        self.spawn(server.serve)
        telemetry = TelemetryServer(
            address=self._settings.metrics,
            metrics=self.metrics,
            health=self.health,
        )
        telemetry.start()
        self.run_periodically(_HEALTH_PERIOD_MS, self._report_health)
        gevent.signal_handler(SIGTERM, self._stop_requested.set)
        gevent.signal_handler(SIGINT, self._stop_requested.set)
        gevent.signal_handler(SIGHUP, self._reload_keys)
        self.log.event(
            'node_started',
            role=self._role.name.lower(),
            site=self._settings.site,
            incarnation=self.incarnation,
        )

    def shut_down(self) -> None:
        """Leaves the membership and ends every task."""
        self.membership.leave()
        self.log.event('node_stopped')
        gevent.sleep(0.05)
        self._tasks.kill()
        self.channels.close()
        self._sink.finish(_LOG_FLUSH_MS)

    def status(self) -> NodeStatus:
        """Returns the part of the status that all nodes have."""
        member = self.membership.member
        state_counts: dict[str, int] = {}
        for listed_member in self.membership.table:
            name = listed_member.state.name.lower()
            state_counts[name] = state_counts.get(name, 0) + 1
        unmet = [
            name for name, holds in self.health.conditions.items() if not holds
        ]
        return NodeStatus(
            name=self._settings.name,
            role=self._role.name.lower(),
            site=self._settings.site,
            state=member.state.name.lower(),
            control=str(member.control_address),
            request=str(member.request_address),
            incarnation=member.incarnation,
            uptime_ms=self.clock.now_ms() - self.started_ms,
            revision=self.view.revision,
            members=state_counts,
            slots=member.slots,
            active_keys={
                'connection-id': self.keys.connection_id.active,
                'datagram': self.keys.datagram.active,
                'curve': self.keys.curve.active,
                'execution': self.keys.execution.active,
            },
            unmet=tuple(unmet),
        )

    def _create_membership(self, slots: int) -> MembershipNode:
        settings = self._settings
        member = Member(
            control_address=settings.control,
            role=self._role,
            site=settings.site,
            data_address=settings.data,
            request_address=settings.request,
            services=(),
            incarnation=self.incarnation,
            state=MemberState.ALIVE,
            slots=slots,
            configuration_revision=0,
        )
        return MembershipNode(
            clock=self.clock,
            random=self.random,
            transport=self._control,
            member=member,
            seeds=tuple(settings.seeds),
            settings=MembershipSettings(),
        )

    def _report_health(self) -> None:
        self.health.report(
            'membership_synchronised', holds=self.membership.is_synchronised
        )
        self.health.report(
            'configuration_in_force',
            holds=self.view.configuration is not None,
        )

    def _export_revision(self) -> None:
        self._revision_gauge.series().set(self.view.revision)

    def _reload_keys(self) -> None:
        loaded = self._key_file.load()
        if isinstance(loaded, Err):
            self.log.warning('key_reload_failed', error=str(loaded.err_value))
            return
        self.keys = loaded.ok_value
        self._control.use_keys(self.keys.datagram.ordered)
        self._requests.use_keys(self.keys.curve.ordered)
        for listener in self._key_listeners:
            listener(self.keys)
        self.log.event(
            'keys_reloaded', connection_id=self.keys.connection_id.active
        )

    def _run_or_exit(
        self, run: Callable[..., object], *arguments: object
    ) -> None:
        try:
            run(*arguments)
        except Exception as error:
            # The process ends with any failed task: the platform replaces a VM
            # whose process has ended, but not one that lacks a task.
            self.log.warning(
                'task_failed', task=str(run), error=repr(error), remedy='report'
            )
            self._sink.finish(_LOG_FLUSH_MS)
            gevent.get_hub().handle_system_error(type(error), error)

    def _repeat(self, period_ms: int, run: Callable[[], None]) -> None:
        while True:
            self.clock.sleep_ms(period_ms)
            run()


def _load_keys(key_file: KeyFile) -> Keys:
    loaded = key_file.load()
    if isinstance(loaded, Err):
        raise loaded.err_value
    return loaded.ok_value
