"""Bounds that apply to every node."""

from msgspec import Struct

from anvilthread.configuration.field_types import PositiveCount


class Limits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds on the state of one agent.

    Attributes:
        connections: Most connections of one agent.
    """

    connections: PositiveCount = 4000
