"""Interface of the operations that a daemon offers to operators."""

from collections.abc import Sequence
from typing import Protocol

from result import Result

from anvilthread.operation.errors import OperationRefusedError
from anvilthread.operation.node_status import NodeStatus
from anvilthread.operation.target_status import TargetStatus


class NodeOperations(Protocol):
    """Operations on one node. Calls must not block."""

    def status(self) -> NodeStatus:
        """The status of the node."""

    def targets(self) -> Sequence[TargetStatus]:
        """Every target that the node knows."""

    def drain(self, operator: str) -> Result[NodeStatus, OperationRefusedError]:
        """Starts to drain the node.

        Clients repeat requests whose answer is lost, so a second call on a
        draining node succeeds and changes nothing.

        Args:
            operator: Name of the operator, for the log.

        Returns:
            The status after the start, or the reason for a refusal.
        """

    def undrain(
        self, operator: str
    ) -> Result[NodeStatus, OperationRefusedError]:
        """Ends a drain; refuses if other nodes already act on it."""
