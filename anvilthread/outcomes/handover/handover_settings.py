"""Limits of handovers between agents."""

import msgspec


class HandoverSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the handover of one agent.

    Args:
        fanout: Maximum number of agents that one request is offered to at a
            time.
        first_fanout: Number of agents that it is offered to immediately.
        widen_ms: Delay after which it is offered to the others too.
        reservation_ms: Time for which a place is held for a run.
        channels: Maximum number of concurrent handovers from other agents.
        chunk_bytes: Maximum number of body bytes in one message.
        body_bytes: Maximum size of the body of a request that is not a stream.
        held_bytes: Maximum size of all buffered bodies of handed-over requests.
    """

    fanout: int = 6
    first_fanout: int = 2
    widen_ms: int = 4
    reservation_ms: int = 500
    channels: int = 4096
    chunk_bytes: int = 32_768
    body_bytes: int = 1 << 20
    held_bytes: int = 64 << 20
