"""Answers that a node sends to an operator."""

from typing import TypeAlias

from msgspec import Struct

from anvilthread.operation.node_status import NodeStatus
from anvilthread.operation.target_status import TargetStatus


class StatusAnswer(Struct, frozen=True, kw_only=True, tag='status'):
    """The status of the node after the request.

    Attributes:
        status: The status.
    """

    status: NodeStatus


class TargetsAnswer(Struct, frozen=True, kw_only=True, tag='targets'):
    """One page of targets in order of their control addresses.

    Attributes:
        targets: The page.
        has_more: Whether another page follows.
    """

    targets: tuple[TargetStatus, ...]
    has_more: bool


class RefusalAnswer(Struct, frozen=True, kw_only=True, tag='refusal'):
    """The node refuses the request.

    Attributes:
        reason: Why, in one clause.
        remedy: What the operator can do, in one clause.
    """

    reason: str
    remedy: str


Answer: TypeAlias = StatusAnswer | TargetsAnswer | RefusalAnswer
