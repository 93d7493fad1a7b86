"""The agent of flows as a process."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Final

import gevent

from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flow_node.flow_process import FlowProcess
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.flow_agent import FlowAgent
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.messages import AnyMessage
from anvilthread.flows.node_directory import NodeDirectory
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.packet_form import PacketForm
from anvilthread.flows.packet_messages import Forward, Place
from anvilthread.flows.search_messages import Ask, Find, Held, NotHeld
from anvilthread.flows.target_watch import Heartbeat, TargetWatch

if TYPE_CHECKING:
    from anvilthread.flow_node.flow_metrics import FlowMetrics

#: Period of load reports to balancers. Shorter than the shortest aim (100 ms
#: and more), so that a queue is seen while it matters.
_REPORT_MS: Final = 100

#: Every this many reports one goes to the agents of the service, which need
#: it only to know each other.
_AGENT_REPORTS: Final = 5

#: Period in which offers and searches are checked.
_TICK_MS: Final = 20
_SWEEP_MS: Final = 1000

#: Balancers silent for longer get no reports; they greet every second.
_BALANCER_SILENCE_MS: Final = 5000

#: Longest wait for requests at work after SIGTERM.
_FINISH_MS: Final = 400


class AgentProcess:
    """Hands packets to the target beside it and returns its answers.

    Args:
        settings: Settings of the process, with a target address.
        form: Codec of the packets.
    """

    __slots__ = (
        '_agent',
        '_form',
        '_handlers',
        '_rounds',
        '_target',
        'process',
    )

    def __init__(self, *, settings: FlowNodeSettings, form: PacketForm) -> None:
        assert settings.outbound_address is not None
        self._form = form
        self._rounds = 0
        self.process = FlowProcess(
            settings=settings, packet_endpoint=settings.outbound_address
        )
        process = self.process
        self._target = TargetWatch(
            clock=process.clock,
            interval_ms=settings.heartbeat_ms,
            log=process.log,
        )
        self._agent = FlowAgent(
            clock=process.clock,
            network=process.network,
            form=form,
            routes=process.routes,
            roster=process.roster,
            target=self._target,
            log=process.log,
            counters=process.counters,
        )
        self._handlers: dict[type, Callable[[str, Any], None]] = {
            Forward: self._agent.on_forward,
            Place: self._agent.on_place,
            Find: self._agent.on_find,
            Ask: self._agent.on_ask,
            Held: self._agent.search.on_held,
            NotHeld: self._agent.search.on_not_held,
        }

    def _report_to(self, node: KnownNode) -> None:
        """Has a balancer that has just started know the target at once."""
        if node.record.role == NodeRole.BALANCER:
            self.process.network.send_node(node.host, self._agent.report())

    def metrics(self) -> 'FlowMetrics':
        """Makes the metrics of this process."""
        # Its library is needed by the first scrape only.
        from anvilthread.flow_node.flow_metrics import FlowMetrics

        agent = self._agent
        return FlowMetrics(
            counters=self.process.counters,
            latencies={'anvilthread_answer_seconds': agent.latencies},
            gauges={
                'anvilthread_flows': lambda: len(agent.flows),
                'anvilthread_requests_working': lambda: (
                    agent.flows.meter.working
                ),
                **self.process.gauges(),
            },
        )

    def start(
        self, source: ConfigurationSource, directory: NodeDirectory
    ) -> None:
        """Starts all tasks."""
        self.process.start(source, directory, self._on_message)
        gevent.spawn(self.process.packets.serve, self._on_target_packet)
        self.process.roster.subscribe(self._report_to)
        self.process.every(_TICK_MS, self._agent.search.tick)
        self.process.every(_REPORT_MS, self._report)
        self.process.every(_SWEEP_MS, self._agent.flows.sweep)

    def wait(self) -> None:
        """Returns once the process may exit after SIGTERM."""
        process = self.process
        process.stopping.wait()
        self._agent.stop()
        process.log.event('process_stopping', flows=len(self._agent.flows))
        process.leave(returns=not self._target.is_draining)
        started_ms = process.clock.now_ms()
        while self._agent.flows.meter.working:
            if process.clock.now_ms() - started_ms > _FINISH_MS:
                break
            process.clock.sleep_ms(_TICK_MS)
        process.log.event(
            'process_stopped', working=self._agent.flows.meter.working
        )
        process.log.flush()

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes a heartbeat in; returns once it is in effect here."""
        accepted = self._agent.accepts
        if self._target.on_heartbeat(heartbeat):
            self._agent.on_target_restart('target_restarted')
        if self._agent.accepts != accepted:
            self._report_to_all()

    def on_departure(self, target: str) -> None:
        """Notes that the target has stopped."""
        if self._target.on_departure(target):
            self._agent.on_target_restart('target_stopped')
            self._report_to_all()

    def _report(self) -> None:
        self._rounds += 1
        report = self._agent.report()
        now_ms = self.process.clock.now_ms()
        for node in self.process.roster.balancers():
            heard_ms = node.heard_ms
            if heard_ms is None or now_ms - heard_ms > _BALANCER_SILENCE_MS:
                continue
            self.process.network.send_node(node.host, report)
        if self._rounds % _AGENT_REPORTS == 0:
            for agent in self.process.roster.agents(report.node.service):
                self.process.network.send_node(agent.host, report)

    def _report_to_all(self) -> None:
        report = self._agent.report()
        for node in self.process.roster.nodes:
            self.process.network.send_node(node.host, report)

    def _on_target_packet(self, content: bytes, _host: str) -> None:
        packet = self._form.from_target(content)
        if packet is None:
            self.process.counters.add('packets_malformed')
        else:
            self._agent.on_target_packet(packet)

    def _on_message(self, host: str, message: AnyMessage) -> None:
        handle = self._handlers.get(type(message))
        if handle is None:
            self.process.counters.add('messages_misdirected')
        else:
            handle(host, message)
