"""The parts of an agent of flows."""

from collections.abc import Callable

from anvilthread.clock import Clock
from anvilthread.flows.agent_condition import AgentCondition
from anvilthread.flows.agent_flow import AgentFlow
from anvilthread.flows.agent_flow_table import AgentFlowTable
from anvilthread.flows.agent_work import AgentWork
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.lost_flows import LostFlows
from anvilthread.flows.opening_admission import OpeningAdmission
from anvilthread.flows.opening_delivery import OpeningDelivery
from anvilthread.flows.opening_gate import OpeningGate
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.opening_queue import OpeningQueue
from anvilthread.flows.opening_refusals import OpeningRefusals
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.search_answers import SearchAnswers
from anvilthread.flows.target_offers import TargetOffers
from anvilthread.flows.target_packets import TargetPackets
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.waiting_openings import WaitingOpenings
from anvilthread.flows.work_limit import WorkLimit
from anvilthread.flows.work_observer import WorkObserver
from anvilthread.telemetry.log import Log


class AgentParts:
    """Creates the parts of a flow agent, and connects them.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        codec: Codec of the packets.
        routes: Configuration in force.
        roster: Identity of the agent, and its peers.
        target: State of the target.
        deliver: Delivers a packet of a known flow to the target.
        log: Receives one line per decision.
        counters: Counts of decisions.
        work_limit: Limit on the requests at the target, where the service
            orders them by priority; None for no limit.
        opening_limit: Limit on the opening packets that the target receives
            per second; None for no limit.
    """

    __slots__ = (
        'condition',
        'delivery',
        'flows',
        'lost_flows',
        'offers',
        'openings',
        'search_answers',
        'target_packets',
        'waiting',
        'work',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        routes: RouteHolder,
        roster: Roster,
        target: TargetWatch,
        deliver: Callable[[FlowPacket, AgentFlow], None],
        log: Log,
        counters: FlowCounters,
        work_limit: WorkLimit | None,
        opening_limit: OpeningLimit | None,
    ) -> None:
        service = roster.local_node.service
        self.flows = AgentFlowTable(clock=clock, routes=routes)
        self.lost_flows = LostFlows(
            clock=clock,
            network=network,
            codec=codec,
            flows=self.flows,
            log=log,
            counters=counters,
        )
        self.offers = TargetOffers(
            clock=clock,
            network=network,
            codec=codec,
            service=service,
            target=target,
            on_recovery=self.flows.recover,
            log=log,
            counters=counters,
        )
        self.work = WorkObserver(work_limit=work_limit)
        queue = OpeningQueue(clock=clock)
        gate = OpeningGate(
            clock=clock,
            work=AgentWork(clock=clock, flows=self.flows, target=target),
            queue=queue,
            work_limit=work_limit,
            opening_limit=opening_limit,
        )
        self.condition = AgentCondition(
            clock=clock,
            agent=roster.local_node,
            routes=routes,
            flows=self.flows,
            target=target,
            gate=gate,
            work=self.work,
            log=log,
        )
        self.search_answers = SearchAnswers(
            clock=clock,
            network=network,
            codec=codec,
            routes=routes,
            service=service,
            flows=self.flows,
            target=target,
            offers=self.offers,
            deliver=deliver,
            counters=counters,
        )
        self.delivery = OpeningDelivery(
            clock=clock,
            network=network,
            flows=self.flows,
            condition=self.condition,
            opening_limit=opening_limit,
            log=log,
            counters=counters,
        )
        refusals = OpeningRefusals(
            network=network, routes=routes, log=log, counters=counters
        )
        self.waiting = WaitingOpenings(
            condition=self.condition,
            queue=queue,
            gate=gate,
            delivery=self.delivery,
            refusals=refusals,
        )
        self.openings = OpeningAdmission(
            clock=clock,
            network=network,
            routes=routes,
            service=service,
            flows=self.flows,
            queue=queue,
            gate=gate,
            waiting=self.waiting,
            delivery=self.delivery,
            refusals=refusals,
            send_held=self.search_answers.send_held,
            log=log,
            counters=counters,
        )
        self.target_packets = TargetPackets(
            network=network,
            codec=codec,
            flows=self.flows,
            target=target,
            offers=self.offers,
            condition=self.condition,
            work=self.work,
            waiting=self.waiting,
            openings=self.openings,
            send_held=self.search_answers.send_held,
            log=log,
            counters=counters,
        )
