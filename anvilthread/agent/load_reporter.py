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
from anvilthread.routing.rendezvous import hash_address, top_nodes
from anvilthread.routing.subset import assigned_balancers

#: Time between two reports of one agent.
REPORT_PERIOD_MS: Final = 1000

#: Up to this number of balancers, all of them receive the reports of an
#: agent; beyond it, only those that an agent of a large service is assigned
#: to. This keeps the traffic of a node independent of the cluster size.
_ALL_BALANCERS_LIMIT: Final = 16

#: Number of peers that receive the reports of an agent.
_PEER_RECEIVERS: Final = 4


class LoadReporter:
    """Sends the load of an agent once per period.

    Args:
        server: Sends datagrams and counts connections.
        admission: Slots of the target.
        connection_admission: Counts first packets.
        balancers: Live balancers.
        peers: Other agents.
        incarnation: Incarnation of this process. The incarnation of the member
            also rises on refutations, after which balancers would discard
            the load.
    """

    __slots__ = (
        '_admission',
        '_balancers',
        '_codec',
        '_connection_admission',
        '_incarnation',
        '_live_balancers',
        '_peers',
        '_selected_balancers',
        '_sequence',
        '_server',
    )

    def __init__(
        self,
        *,
        server: PacketServer,
        admission: Admission,
        connection_admission: AgentAdmission,
        balancers: Balancers,
        peers: MemberPeers,
        incarnation: int,
    ) -> None:
        self._server = server
        self._admission = admission
        self._connection_admission = connection_admission
        self._balancers = balancers
        self._peers = peers
        self._incarnation = incarnation
        self._codec = LoadReportCodec()
        self._sequence = 0
        # Selection among thousands of balancers takes milliseconds, so it is
        # repeated only when they change.
        self._live_balancers: Sequence[Address] = ()
        self._selected_balancers: list[Address] = []

    def send(self) -> None:
        """Sends one report to every receiver."""
        services = sorted(self._server.services)
        if not services:
            return
        self._sequence += 1
        for receiver in (
            *self._balancer_receivers(),
            *self._peer_receivers(services),
        ):
            self._send(services[0], receiver)

    def _balancer_receivers(self) -> list[Address]:
        live = self._balancers.live_balancers()
        if live is not self._live_balancers:
            self._live_balancers = live
            self._selected_balancers = list(live)
            if len(live) > _ALL_BALANCERS_LIMIT:
                self._selected_balancers = assigned_balancers(
                    self._server.address, live
                )
        return self._selected_balancers

    def _peer_receivers(self, services: list[int]) -> list[Address]:
        peers = [
            member.data_address for member in self._peers.members(services[0])
        ]
        return top_nodes(
            hash_address(self._server.address),
            ((address, 1) for address in peers),
            _PEER_RECEIVERS,
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
            accepted=self._connection_admission.accepted,
            placed=self._connection_admission.placed,
            received=self._connection_admission.received[receiver],
            warmth_percent=self._connection_admission.warmth_percent,
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
