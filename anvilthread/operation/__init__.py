"""Requests that operators send to a node, and the answers."""

from anvilthread.operation.errors import (
    OperationAnswerError,
    OperationError,
    OperationRefusedError,
    OperationTimeoutError,
)
from anvilthread.operation.node_operations import NodeOperations
from anvilthread.operation.node_status import NodeStatus
from anvilthread.operation.operation_client import OperationClient
from anvilthread.operation.operation_server import OperationServer
from anvilthread.operation.target_status import TargetStatus

__all__ = (
    'NodeOperations',
    'NodeStatus',
    'OperationAnswerError',
    'OperationClient',
    'OperationError',
    'OperationRefusedError',
    'OperationServer',
    'OperationTimeoutError',
    'TargetStatus',
)
