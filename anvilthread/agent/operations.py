"""Operator commands of an agent."""

from collections.abc import Callable, Sequence

import msgspec
from result import Err, Ok, Result

from anvilthread.admission import Admission
from anvilthread.agent.member_peers import MemberPeers
from anvilthread.agent.packet_server import PacketServer
from anvilthread.daemon.node import Node
from anvilthread.daemon.target_list import target_list
from anvilthread.operation import (
    NodeStatus,
    OperationRefusedError,
    TargetStatus,
)


class AgentOperations:
    """Handles operator commands for an agent and its target.

    Args:
        node: The process.
        server: Counts connections.
        admission: Slots of the target.
        peers: Load reports of other agents.
        start_drain: Starts a drain; called with the name of the operator.
    """

    __slots__ = ('_admission', '_node', '_peers', '_server', '_start_drain')

    def __init__(
        self,
        *,
        node: Node,
        server: PacketServer,
        admission: Admission,
        peers: MemberPeers,
        start_drain: Callable[[str], None],
    ) -> None:
        self._node = node
        self._server = server
        self._admission = admission
        self._peers = peers
        self._start_drain = start_drain

    def status(self) -> NodeStatus:
        """The status of the agent."""
        load = self._admission.load
        return msgspec.structs.replace(
            self._node.status(),
            connections=self._server.connections,
            busy=load.busy,
            waiting=load.waiting,
            slots=load.slots,
        )

    def targets(self) -> Sequence[TargetStatus]:
        """Every target that this agent knows."""
        return target_list(self._node, self._peers.loads)

    def drain(self, operator: str) -> Result[NodeStatus, OperationRefusedError]:
        """Starts the drain of the target."""
        self._start_drain(operator)
        return Ok(self.status())

    def undrain(
        self, operator: str
    ) -> Result[NodeStatus, OperationRefusedError]:
        """Refuses, as other nodes have already taken over the work."""
        return Err(
            OperationRefusedError(
                reason='a drain cannot be undone',
                remedy='restart the agent; it joins under a new incarnation',
            )
        )
