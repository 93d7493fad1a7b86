"""Limits of handovers between agents."""

import msgspec


class HandoverSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the handover of one agent.

    Args:
        fanout: Most agents that one request is offered to at a time.
        first_fanout: Agents that it is offered to immediately.
        widen_ms: Delay after which it is offered to the others too.
        reservation_ms: Time for which a place is held for a run.
        channels: Most handovers from other agents at a time.
        chunk_bytes: Longest part of a body in one message.
        body_bytes: Longest body of a request that is not a stream.
        held_bytes: Most bytes of all handed-over bodies that are buffered.
    """

    fanout: int = 6
    first_fanout: int = 2
    widen_ms: int = 4
    reservation_ms: int = 500
    channels: int = 4096
    chunk_bytes: int = 32_768
    body_bytes: int = 1 << 20
    held_bytes: int = 64 << 20
