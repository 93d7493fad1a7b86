"""The process of a flow agent."""

from typing import TYPE_CHECKING, Final


from anvilthread.flow_node.flow_node_settings import FlowNodeSettings
from anvilthread.flow_node.flow_process import FlowProcess
from anvilthread.flow_node.target_probe import is_listening
from anvilthread.flows.agent_limits import (
    build_opening_limit,
    build_work_limit,
)
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.flow_agent import FlowAgent
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.heartbeat import Heartbeat
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.node_directory import NodeDirectory
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.message_periods import balancer_period_ms
from anvilthread.flows.target_watch import TargetWatch

if TYPE_CHECKING:
    from anvilthread.flow_node.flow_metrics import FlowMetrics

#: Period announced in reports that are sent on an event, outside the regular
#: schedule: time until the next report at the latest.
_EVENT_REPORT_PERIOD_MS: Final = 500

#: Interval at which offers and searches are checked.
_TICK_MS: Final = 20

#: Interval at which ended flows and unanswered requests are removed.
_SWEEP_MS: Final = 1000

#: Hello periods after which a silent balancer gets no reports.
_BALANCER_TIMEOUT_PERIODS: Final = 5

#: Longest wait after SIGTERM for requests in progress.
_FINISH_TIMEOUT_MS: Final = 400


class AgentProcess:
    """Forwards packets to the local target and returns its answers.

    Args:
        settings: Settings of the process, with a target address.
        codec: Codec of the packets.
    """

    __slots__ = (
        '_agent',
        '_codec',
        '_target',
        '_was_ejected',
        '_was_evacuated',
        'process',
    )

    def __init__(
        self, *, settings: FlowNodeSettings, codec: FlowPacketCodec
    ) -> None:
        assert settings.outbound_address is not None
        self._codec = codec
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
            codec=codec,
            routes=process.routes,
            roster=process.roster,
            target=self._target,
            log=process.log,
            counters=process.counters,
            work_limit=build_work_limit(process.clock, self._target),
            opening_limit=build_opening_limit(
                clock=process.clock,
                target=self._target,
                routes=process.routes,
                service=settings.service,
                overage=settings.warmup_overage,
                slack=settings.warmup_slack,
            ),
        )
        self._was_ejected = False
        self._was_evacuated = False
        process.routes.evacuations.subscribe(self._on_evacuation)

    def _report_to_new_balancer(self, node: KnownNode) -> None:
        """Sends a balancer that has just started the target's state at once."""
        if node.record.role == NodeRole.BALANCER:
            self.process.network.send_to_node(
                node.host, self._agent.condition.report(_EVENT_REPORT_PERIOD_MS)
            )

    def metrics(self) -> 'FlowMetrics':
        """Creates the metrics of this process."""
        # Imported late: the library is not needed before the first scrape.
        from anvilthread.flow_node.flow_metrics import FlowMetrics

        agent = self._agent
        return FlowMetrics(
            counters=self.process.counters,
            latencies={
                'anvilthread_answer_seconds': agent.latencies,
                'anvilthread_opening_wait_seconds': agent.openings.waits,
            },
            gauges={
                'anvilthread_flows': lambda: len(agent.flows),
                'anvilthread_requests_working': lambda: (
                    agent.flows.meter.working
                ),
                'anvilthread_openings_waiting': lambda: (
                    agent.openings.gate.waiting
                ),
                'anvilthread_work_limit': lambda: agent.openings.gate.limit,
                **self.process.gauges(),
            },
        )

    def start(
        self, source: ConfigurationSource, directory: NodeDirectory
    ) -> None:
        """Starts all tasks."""
        self.process.start(source, directory, self._agent.handlers)
        self.process.serve_packets(
            self._codec.from_target, self._agent.on_target_packet
        )
        self.process.roster.subscribe(self._report_to_new_balancer)
        self.process.tasks.run_periodically(_TICK_MS, self._tick)
        self.process.tasks.run(self._probe_target)
        self.process.tasks.run(self._report_to_balancers)
        self.process.tasks.run_periodically(
            _SWEEP_MS, self._agent.condition.sweep
        )

    def wait(self) -> None:
        """Waits for SIGTERM; returns once the process may exit."""
        process = self.process
        process.stop_requested.wait()
        self._agent.stop()
        process.log.event('process_stopping', flows=len(self._agent.flows))
        if not self._target.is_alive:
            self._probe_target()
        process.leave(returns=not self._target.has_departed)
        started_ms = process.clock.now_ms()
        while self._agent.flows.meter.working:
            if process.clock.now_ms() - started_ms > _FINISH_TIMEOUT_MS:
                break
            process.clock.sleep_ms(_TICK_MS)
        process.log.event(
            'process_stopped', working=self._agent.flows.meter.working
        )
        process.log.flush()

    def on_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Handles a heartbeat.

        Returns:
            Whether it is in effect on this node. If not, its sender is not the
            target that runs, as far as this agent knows.
        """
        accepted = self._agent.condition.accepts
        is_in_effect = self._agent.on_heartbeat(heartbeat)
        if self._agent.condition.accepts != accepted:
            self._report_to_all_balancers()
        return is_in_effect

    def on_departure(self, target: str) -> None:
        """Handles the notice that the target has stopped."""
        if self._agent.on_departure(target):
            self._report_to_all_balancers()

    def _probe_target(self) -> None:
        """Finds out whether a target runs before its first heartbeat.

        After a loss of power, agents start beside targets that do not return.
        """
        endpoint = self.process.settings.target_address
        listens = None if endpoint is None else is_listening(endpoint)
        if listens is not None:
            self._target.on_probe(is_listening=listens)

    def _probe_silent_target(self) -> None:
        """Finds out whether a target that does not answer has ended."""
        endpoint = self.process.settings.target_address
        silence = self._agent.condition.silence
        listens: bool | None = None
        silence.start_probe()
        try:
            if endpoint is not None:
                listens = is_listening(endpoint)
        finally:
            silence.finish_probe(is_listening=listens)

    def _tick(self) -> None:
        self._agent.tick()
        if self._agent.condition.needs_probe:
            # A probe takes up to 0.2 s, so packets go on beside it.
            self.process.tasks.run(self._probe_silent_target)
        is_ejected = self._agent.condition.is_ejected
        if is_ejected != self._was_ejected:
            self._was_ejected = is_ejected
            self._report_to_all_balancers()

    def _on_evacuation(self) -> None:
        """Reports at once if the site of this agent is affected."""
        is_evacuated = self._agent.condition.is_evacuated
        if is_evacuated != self._was_evacuated:
            self._was_evacuated = is_evacuated
            self._report_to_all_balancers()

    def _report_to_balancers(self) -> None:
        process = self.process
        while True:
            agents = process.roster.agent_count + 1
            period_ms = balancer_period_ms(agents)
            report = self._agent.condition.report(period_ms)
            now_ms = process.clock.now_ms()
            hello_period_ms = process.roster.hello_period_ms
            timeout_ms = _BALANCER_TIMEOUT_PERIODS * hello_period_ms
            for node in process.roster.balancers():
                last_seen_ms = node.last_seen_ms
                if last_seen_ms and now_ms - last_seen_ms <= timeout_ms:
                    process.network.send_to_node(node.host, report)
            process.clock.sleep_ms(period_ms)

    def _report_to_all_balancers(self) -> None:
        report = self._agent.condition.report(_EVENT_REPORT_PERIOD_MS)
        for node in self.process.roster.balancers():
            self.process.network.send_to_node(node.host, report)
