"""Agents with their targets in virtual time."""

from collections.abc import Callable, Sequence
from random import Random

import gevent
import msgspec

from anvilthread.address import Address
from anvilthread.admission import Admission, Dispatcher, Limits
from anvilthread.clock import ManualClock
from anvilthread.outcomes import Outcome, Request, RequestHandler
from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.execution_table import ExecutionTable
from anvilthread.outcomes.handover import (
    HandoverClient,
    HandoverServer,
    HandoverSettings,
    Node,
    Peer,
)
from anvilthread.outcomes.key_endpoint import KeyEndpoint
from anvilthread.outcomes.key_issuer import KeyIssuer
from anvilthread.outcomes.key_sealer import KeySealer
from anvilthread.outcomes.keyed_runner import KeyedRunner
from standins.collected_answer import CollectedAnswer
from standins.faulty_transport import FaultyTransport
from standins.freezable_clock import FreezableClock
from standins.ledger import Ledger
from standins.memory_network import MemoryNetwork
from standins.virtual_target import VirtualTarget


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that all agents of a fleet share."""

    agents: int = 3
    limits: Limits = Limits(slots=2)
    handover: HandoverSettings = HandoverSettings()
    delay_ms: float = 0.5
    loss: float = 0
    copies: float = 0
    key_lifetime_ms: int = 60_000
    table_bytes: int = 1 << 20
    retention_ms: int = 60_000
    report_ms: int = 0
    seed: int = 1


class VirtualFleet:
    """Several agents that hand requests over to each other.

    Args:
        settings: Settings of every agent.
        run_ms: Duration of a run whose request specifies none.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        run_ms: Callable[[], float] | None = None,
    ) -> None:
        self.settings = settings
        self.random = Random(settings.seed)
        self.clock = ManualClock(start_ms=1_000_000)
        self.ledger = Ledger()
        self.run_ms = run_ms or (lambda: 20)
        self.network = MemoryNetwork(
            clock=self.clock,
            random=self.random,
            delay_ms=settings.delay_ms,
            loss=settings.loss,
        )
        self._reports: dict[Address, Peer] = {}
        self._reported_ms = 0
        self.sealer = KeySealer(keys={1: bytes(range(64))}, active=1)
        self.agents = [
            VirtualAgent(fleet=self, number=number, incarnation=1)
            for number in range(settings.agents)
        ]

    def restart(self, number: int) -> None:
        """Replaces an agent by a new process at the same address."""
        old = self.agents[number]
        old.kill()
        self.agents[number] = VirtualAgent(
            fleet=self,
            number=number,
            incarnation=old.identity.incarnation + 1,
        )

    def peers_of(self, requester: 'VirtualAgent') -> list[Peer]:
        """Lists the agents that are alive and not draining."""
        self._refresh_reports()
        return [
            self._reports[agent.identity.address]
            for agent in self.agents
            if agent is not requester and agent.listed
        ]

    def _refresh_reports(self) -> None:
        """Updates the load reports when they are due."""
        age_ms = self.clock.now_ms() - self._reported_ms
        if age_ms < self.settings.report_ms:
            return
        self._reported_ms = self.clock.now_ms()
        for agent in self.agents:
            self._reports[agent.identity.address] = agent.as_peer()


class VirtualAgent:
    """One agent with its target.

    Args:
        fleet: The fleet that contains the agent.
        number: Position in the fleet.
        incarnation: Incarnation of the process.
    """

    def __init__(
        self, *, fleet: VirtualFleet, number: int, incarnation: int
    ) -> None:
        settings = fleet.settings
        self.fleet = fleet
        self.listed = True
        self.clock = FreezableClock(base=fleet.clock)
        self.identity = AgentIdentity(
            address=Address(host=f'10.0.0.{number + 1}', port=7000),
            incarnation=incarnation,
        )
        self.target = VirtualTarget(
            clock=fleet.clock,
            ledger=fleet.ledger,
            slots=settings.limits.slots,
            run_ms=fleet.run_ms,
        )
        self.admission = Admission(clock=self.clock, limits=settings.limits)
        self.transport = FaultyTransport(
            inner=fleet.network.transport(self.identity.address),
            clock=fleet.clock,
            process_clock=self.clock,
            random=fleet.random,
            duplicate_rate=settings.copies,
        )
        self.node = Node(
            clock=self.clock,
            transport=self.transport,
            identity=self.identity,
            channels=settings.handover.channels,
        )
        client = HandoverClient(
            clock=self.clock,
            random=fleet.random,
            node=self.node,
            peers=self,
            settings=settings.handover,
        )
        self.dispatcher = Dispatcher(
            clock=self.clock,
            admission=self.admission,
            edge=self.target,
            source=client,
        )
        self.table = ExecutionTable(
            clock=self.clock,
            max_bytes=settings.table_bytes,
            retention_ms=settings.retention_ms,
        )
        keyed = KeyedRunner(
            clock=self.clock,
            identity=self.identity,
            sealer=fleet.sealer,
            table=self.table,
            runner=self.dispatcher,
            owners=client,
        )
        self.issuer = KeyIssuer(
            clock=self.clock,
            identity=self.identity,
            sealer=fleet.sealer,
            lifetime_ms=settings.key_lifetime_ms,
        )
        self.handler = RequestHandler(
            runner=KeyEndpoint(issuer=self.issuer, runner=keyed)
        )
        server = HandoverServer(
            clock=self.clock,
            settings=settings.handover,
            admission=self.admission,
            dispatcher=self.dispatcher,
            owner=keyed,
        )
        self._tasks = [gevent.spawn(self.node.serve, server.serve)]

    def list_peers(self, service: int) -> Sequence[Peer]:
        """Lists the other agents of the fleet."""
        return self.fleet.peers_of(self)

    def as_peer(self) -> Peer:
        """This agent as its peers see it."""
        load = self.admission.load
        return Peer(
            identity=self.identity,
            busy=load.busy,
            waiting=load.waiting,
            slots=load.slots,
        )

    def send(
        self, request: Request, answer: CollectedAnswer | None = None
    ) -> 'Exchange':
        """Sends a request as a client of this agent."""
        exchange = Exchange(request=request, answer=answer or CollectedAnswer())
        exchange.task = gevent.spawn(self._handle, exchange)
        self._tasks.append(exchange.task)
        return exchange

    def kill(self) -> None:
        """Kills the process and its target and detaches it from the network."""
        self.listed = False
        self.transport.close()
        self.target.kill()
        gevent.killall(self._tasks, block=False)

    def drain(self) -> None:
        """Starts the drain; peers no longer list the agent."""
        self.listed = False
        self.admission.drain()

    def _handle(self, exchange: 'Exchange') -> None:
        exchange.outcome = self.handler.handle(
            exchange.request, exchange.answer
        )


class Exchange:
    """A request of a client and its outcome."""

    def __init__(self, *, request: Request, answer: CollectedAnswer) -> None:
        self.request = request
        self.answer = answer
        self.outcome: Outcome | None = None
        self.task: gevent.Greenlet | None = None
