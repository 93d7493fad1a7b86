"""Limits of one agent's admission."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the admission to one target.

    Args:
        slots: Maximum number of concurrent requests on the target.
        queue: Maximum number of waiting requests of this agent's clients; the
            same number of offers from other agents may wait in addition.
        streams: Maximum number of open streams.
        streams_take_slots: Whether a stream counts as a running request.
        retry_ratio: Maximum number of retries per request, on average.
        attempts: Maximum number of runs of one request, including the first.
        shed_ratio: Maximum expected wait of a request as a share of the time to
            its deadline; the rest covers the variance of run times.
        pause_ms: Time without new requests after the target refuses a
            connection.
        doubt_ms: Time without a start after the target broke a connection;
            the sockets of a terminating process are closed within a few ms.
        stop_ms: Time for which a stop waits for running requests.
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
