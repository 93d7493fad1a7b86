"""Admission of first packets by the load of the agent."""

from collections import Counter

from anvilthread.address import Address
from anvilthread.admission import Admission
from anvilthread.agent.member_peers import MemberPeers
from anvilthread.routing.admission_bound import AdmissionBound
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.first_packet_action import FirstPacketAction
from anvilthread.routing.slow_start import SlowStart


class AgentAdmission:
    """Applies the bound, the drain and the slow start to first packets.

    Args:
        bound: Bound on the connections relative to the peers.
        slow_start: Slow start of the target.
        admission: Admission of requests; tells whether the target drains.
        peers: Other agents, from which an alternate is chosen while the target
            drains or when a packet names none.
        max_connections: Largest number of connections of this agent.
    """

    __slots__ = (
        '_admission',
        '_bound',
        '_peers',
        '_slow_start',
        'accepted',
        'max_connections',
        'placed',
        'received',
    )

    def __init__(
        self,
        *,
        bound: AdmissionBound,
        slow_start: SlowStart,
        admission: Admission,
        peers: MemberPeers,
        max_connections: int,
    ) -> None:
        self._bound = bound
        self._slow_start = slow_start
        self._admission = admission
        self._peers = peers
        self.max_connections = max_connections
        #: Totals for load reports: connections accepted, first packets
        #: received directly from any balancer, and the same by balancer.
        self.accepted = 0
        self.placed = 0
        self.received: Counter[Address] = Counter()

    @property
    def warmth_percent(self) -> int:
        """Progress of the slow start."""
        return self._slow_start.warmth_percent

    def decide(
        self, datagram: Encapsulated, connections: int
    ) -> FirstPacketAction:
        """Decides on a first packet; sets its alternate while draining."""
        if not datagram.hops:
            self.placed += 1
            self.received[datagram.balancer] += 1
        draining = self._admission.draining
        if draining or datagram.alternate is None:
            datagram.alternate = self._peers.least_loaded(datagram.service)
        action = self._bound.decide(
            connections=connections,
            hops=datagram.hops,
            has_alternate=datagram.alternate is not None,
            draining=draining,
            warmth_percent=self.warmth_percent,
        )
        if action is FirstPacketAction.ACCEPT:
            if connections >= self.max_connections:
                return FirstPacketAction.DROP
            self.accepted += 1
        return action
