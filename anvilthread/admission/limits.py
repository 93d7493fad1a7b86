"""Limits of one agent's admission."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the admission to one target.

    Args:
        slots: Most requests that may run on the target at once.
        queue: Most waiting requests of this agent's own clients; the same
            number of offers from other agents may wait beside them.
        streams: Most streams that may be open at once.
        streams_take_slots: Whether a stream counts as a running request.
        retry_ratio: Extra load that retries may cause, per request.
        attempts: Most runs of one request, the first one included.
        shed_ratio: Share of the time to the deadline that a request may be
            expected to wait; the rest covers the spread of run times.
        pause_ms: Time without new work after the target refuses connections.
        doubt_ms: Time without a start after the target broke a connection;
            the sockets of a process that ends are gone within some ms.
        stop_ms: Time that a stop leaves to running requests.
    """

    slots: int
    queue: int = 64
    streams: int = 2000
    streams_take_slots: bool = False
    retry_ratio: float = 0.1
    attempts: int = 3
    shed_ratio: float = 0.5
    pause_ms: int = 500
    doubt_ms: int = 100
    stop_ms: int = 30_000
