"""The base class of recorded events."""

from msgspec import Struct


class TraceEvent(Struct, frozen=True, kw_only=True, tag_field='kind'):
    """One line of a trace; docs/traces.md defines every kind.

    Attributes:
        ts_ms: Time since the Unix epoch.
        node: Name of the process that the event happened at.
    """

    ts_ms: int
    node: str
