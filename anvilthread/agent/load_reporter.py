"""Load reports of an agent to balancers and peers."""

from collections.abc import Sequence
from typing import Final

from anvilthread.address import Address
from anvilthread.admission import Admission
from anvilthread.agent.agent_admission import AgentAdmission
from anvilthread.agent.balancers import Balancers
from anvilthread.agent.member_peers import MemberPeers
from anvilthread.agent.packet_server import PacketServer
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_report_codec import LoadReportCodec
from anvilthread.routing.rendezvous import hash_address, highest
from anvilthread.routing.subset import carriers

#: Time between two reports of one agent.
REPORT_PERIOD_MS: Final = 1000

#: Balancers up to this number all get the reports of an agent; of more, only
#: those that place on an agent of a large service. It keeps the traffic of a
#: node flat in the size of the fleet.
_ALL_BALANCERS: Final = 16

#: Peers that get the reports of an agent.
_PEERS: Final = 4


class LoadReporter:
    """Sends the load of an agent once a period.

    Args:
        server: Sends datagrams and counts connections.
        admission: Slots of the target.
        decisions: Counts first packets.
        balancers: Balancers of the view.
        peers: Other agents.
        incarnation: Incarnation of this process. That of the membership also
            rises on refutations, after which balancers would forget the load.
    """

    __slots__ = (
        '_admission',
        '_balancers',
        '_chosen',
        '_codec',
        '_decisions',
        '_incarnation',
        '_known',
        '_peers',
        '_sequence',
        '_server',
    )

    def __init__(
        self,
        *,
        server: PacketServer,
        admission: Admission,
        decisions: AgentAdmission,
        balancers: Balancers,
        peers: MemberPeers,
        incarnation: int,
    ) -> None:
        self._server = server
        self._admission = admission
        self._decisions = decisions
        self._balancers = balancers
        self._peers = peers
        self._incarnation = incarnation
        self._codec = LoadReportCodec()
        self._sequence = 0
        # Choosing among thousands of balancers takes milliseconds, so it is
        # repeated only when they change.
        self._known: Sequence[Address] = ()
        self._chosen: list[Address] = []

    def send(self) -> None:
        """Sends one report to every receiver."""
        services = sorted(self._server.services)
        if not services:
            return
        self._sequence += 1
        for receiver in (*self._receivers(), *self._peer_receivers(services)):
            self._send(services[0], receiver)

    def _receivers(self) -> list[Address]:
        live = self._balancers.live_balancers()
        if live is not self._known:
            self._known = live
            self._chosen = list(live)
            if len(live) > _ALL_BALANCERS:
                self._chosen = carriers(self._server.address, live)
        return self._chosen

    def _peer_receivers(self, services: list[int]) -> list[Address]:
        peers = [
            member.data_address for member in self._peers.members(services[0])
        ]
        return highest(
            hash_address(self._server.address),
            ((address, 1) for address in peers),
            _PEERS,
        )

    def _send(self, service: int, receiver: Address) -> None:
        load = self._admission.load
        report = LoadReport(
            service=service,
            agent=self._server.address,
            incarnation=self._incarnation,
            sequence=self._sequence,
            connections=self._server.connections,
            busy=load.busy,
            waiting=load.waiting,
            slots=load.slots,
            accepted=self._decisions.accepted,
            placed=self._decisions.placed,
            received=self._decisions.received[receiver],
            warmth_percent=self._decisions.warmth_percent,
            draining=self._admission.draining,
        )
        self._server.send(
            Encapsulated(
                kind=DatagramKind.REPORT,
                service=service,
                service_address=self._server.address,
                client=self._server.address,
                balancer=receiver,
                payload=self._codec.encode(report),
            ),
            receiver,
        )
