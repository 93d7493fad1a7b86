"""Request handling of one agent."""

from collections.abc import Collection
from typing import Final

import msgspec

from anvilthread.admission import Admission, Dispatcher, Limits
from anvilthread.agent.member_peers import MemberPeers
from anvilthread.configuration import Service
from anvilthread.daemon.node import Node
from anvilthread.outcomes import RequestHandler
from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.execution_table import ExecutionTable
from anvilthread.outcomes.handover import (
    HandoverClient,
    HandoverServer,
    HandoverSettings,
)
from anvilthread.outcomes.handover import Node as HandoverNode
from anvilthread.outcomes.key_endpoint import KeyEndpoint
from anvilthread.outcomes.key_issuer import KeyIssuer
from anvilthread.outcomes.key_sealer import KeySealer
from anvilthread.outcomes.keyed_runner import KeyedRunner
from anvilthread.settings import AgentSettings, Keys
from anvilthread.target import HttpEdge
from anvilthread.transport import ChannelName

_PERCENT: Final = 100


class RequestPipeline:
    """Admission, execution keys, handover and the HTTP edge of the target.

    Args:
        node: The process.
        settings: Settings of the agent.
        peers: Other agents of the services.
    """

    __slots__ = (
        '_dispatcher',
        '_handover_node',
        '_handover_server',
        '_queue_length',
        '_sealer',
        'admission',
        'handler',
    )

    def __init__(
        self, *, node: Node, settings: AgentSettings, peers: MemberPeers
    ) -> None:
        self._queue_length = settings.queue_length
        limits = Limits(
            slots=settings.slots,
            queue=settings.queue_length,
            stop_ms=settings.stop_deadline_ms,
        )
        identity = AgentIdentity(
            address=settings.request, incarnation=node.incarnation
        )
        handover_settings = HandoverSettings()
        self.admission = Admission(clock=node.clock, limits=limits)
        self._handover_node = HandoverNode(
            clock=node.clock,
            transport=node.channels.channel(ChannelName.HANDOVER),
            identity=identity,
            channels=handover_settings.channels,
        )
        handover_client = HandoverClient(
            clock=node.clock,
            random=node.random,
            node=self._handover_node,
            peers=peers,
            settings=handover_settings,
        )
        self._dispatcher = Dispatcher(
            clock=node.clock,
            admission=self.admission,
            edge=HttpEdge(clock=node.clock, target=settings.target),
            source=handover_client,
        )
        self._sealer = KeySealer(
            keys=node.keys.execution.keys, active=node.keys.execution.active
        )
        keyed_runner = KeyedRunner(
            clock=node.clock,
            identity=identity,
            sealer=self._sealer,
            table=ExecutionTable(
                clock=node.clock,
                max_bytes=settings.kept_answer_bytes,
                retention_ms=settings.kept_answer_ms,
            ),
            runner=self._dispatcher,
            owners=handover_client,
        )
        self._handover_server = HandoverServer(
            clock=node.clock,
            settings=handover_settings,
            admission=self.admission,
            dispatcher=self._dispatcher,
            owner=keyed_runner,
        )
        issuer = KeyIssuer(
            clock=node.clock,
            identity=identity,
            sealer=self._sealer,
            lifetime_ms=settings.kept_answer_ms,
        )
        self.handler = RequestHandler(
            runner=KeyEndpoint(issuer=issuer, runner=keyed_runner)
        )

    def use_keys(self, keys: Keys) -> None:
        """Replaces the keys with which execution keys are sealed."""
        ring = keys.execution
        self._sealer.use_keys(keys=ring.keys, active=ring.active)

    def use_services(self, services: Collection[Service]) -> None:
        """Applies the strictest limits among the services.

        Services of one target share its queue and its retry budget.
        """
        if not services:
            return
        limits = msgspec.structs.replace(
            self.admission.limits,
            queue=min(
                self._queue_length,
                *(service.queue_limit for service in services),
            ),
            retry_ratio=min(service.retry_percent for service in services)
            / _PERCENT,
        )
        self.admission.use_limits(limits)
        self._dispatcher.budget.use_ratio(limits.retry_ratio)

    def run(self) -> None:
        """Serves handovers of other agents until the process ends."""
        self._handover_node.serve(self._handover_server.serve)
