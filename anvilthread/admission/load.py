"""The load of one agent's target."""

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load figures of one moment.

    Args:
        busy: Slots in use, including those held for other agents.
        waiting: Requests of this agent's clients that wait for a slot.
        slots: Requests that the target can run at once.
        streams: Open streams.
    """

    busy: int
    waiting: int
    slots: int
    streams: int = 0
