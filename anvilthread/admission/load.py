"""The load of one agent's target."""

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load figures at one point in time.

    Args:
        busy: Slots in use, including those reserved for other agents.
        waiting: Requests of this agent's clients waiting for a slot.
        slots: Maximum number of concurrent requests on the target.
        streams: Open streams.
    """

    busy: int
    waiting: int
    slots: int
    streams: int = 0
