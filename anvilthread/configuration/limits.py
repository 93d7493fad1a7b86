"""Bounds that hold for every node."""

from msgspec import Struct

from anvilthread.configuration.names import PositiveCount


class Limits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds on the state of one agent.

    Attributes:
        connections: Connections of one agent.
    """

    connections: PositiveCount = 4000
