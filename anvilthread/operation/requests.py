"""Requests that an operator sends to a node."""

from typing import TypeAlias

from msgspec import Struct


class StatusRequest(Struct, frozen=True, kw_only=True, tag='status'):
    """Asks for the status of the node."""


class TargetsRequest(Struct, frozen=True, kw_only=True, tag='targets'):
    """Asks for a page of the targets that the node knows.

    Attributes:
        after: Last control address of the previous page; empty for the first
            page.
    """

    after: str = ''


class DrainRequest(Struct, frozen=True, kw_only=True, tag='drain'):
    """Asks the node to drain; a repeat changes nothing.

    Attributes:
        operator: Name of the operator, for the log.
    """

    operator: str


class UndrainRequest(Struct, frozen=True, kw_only=True, tag='undrain'):
    """Asks the node to end its drain.

    Attributes:
        operator: Name of the operator, for the log.
    """

    operator: str


Request: TypeAlias = (
    StatusRequest | TargetsRequest | DrainRequest | UndrainRequest
)
