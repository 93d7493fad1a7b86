"""What an agent offers to operators."""

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
    """Answers operators about an agent and its target.

    Args:
        node: The process.
        server: Counts connections.
        admission: Slots of the target.
        peers: Load reports of other agents.
        start_drain: Begins the drain.
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
        """Every target in the view."""
        return target_list(self._node, self._peers.loads)

    def drain(self, operator: str) -> Result[NodeStatus, OperationRefusedError]:
        """Starts the drain of the target."""
        self._start_drain(operator)
        return Ok(self.status())

    def undrain(
        self, operator: str
    ) -> Result[NodeStatus, OperationRefusedError]:
        """Refuses; other nodes have already taken the work."""
        return Err(
            OperationRefusedError(
                reason='a drain cannot be taken back',
                remedy='restart the agent; it joins under a new incarnation',
            )
        )
