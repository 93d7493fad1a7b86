"""Operator commands of a balancer."""

from collections.abc import Sequence

from result import Err, Ok, Result

from anvilthread.daemon.node import Node
from anvilthread.daemon.target_list import target_list
from anvilthread.operation import (
    NodeStatus,
    OperationRefusedError,
    TargetStatus,
)
from anvilthread.routing.load_table import LoadTable


class BalancerOperations:
    """Handles operator requests to a balancer.

    Args:
        node: The process.
        loads: Load reports of the agents.
    """

    __slots__ = ('_loads', '_node')

    def __init__(self, *, node: Node, loads: LoadTable) -> None:
        self._node = node
        self._loads = loads

    def status(self) -> NodeStatus:
        """The status of the balancer."""
        return self._node.status()

    def targets(self) -> Sequence[TargetStatus]:
        """Every target in the membership view."""
        return target_list(self._node, self._loads)

    def drain(self, operator: str) -> Result[NodeStatus, OperationRefusedError]:
        """Starts a planned stop: the balancer withdraws and then exits."""
        self._node.log.event('drain_started', operator=operator)
        self._node.stop_requested.set()
        return Ok(self.status())

    def undrain(
        self, operator: str
    ) -> Result[NodeStatus, OperationRefusedError]:
        """Refuses; a draining balancer exits soon."""
        return Err(
            OperationRefusedError(
                reason='a draining balancer cannot be undrained',
                remedy='start a new balancer',
            )
        )
