"""Bounds that hold for every node."""

from msgspec import Struct

from anvilthread.configuration.names import PositiveCount, PositiveMs


class Limits(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bounds on the state of one agent.

    Attributes:
        connections: Connections of one agent.
        execution_keys: Execution keys that one agent remembers.
        kept_answer_bytes: Bytes of kept answers of one agent.
        kept_answer_ms: Time for which an answer is kept.
    """

    connections: PositiveCount = 4000
    execution_keys: PositiveCount = 100_000
    kept_answer_bytes: PositiveCount = 67_108_864
    kept_answer_ms: PositiveMs = 600_000
