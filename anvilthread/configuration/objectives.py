"""Service-level objectives."""

from msgspec import Struct

from anvilthread.configuration.field_types import PositiveMs, Share


class Objectives(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Service-level objectives, against which burn reports are computed.

    Attributes:
        connections_kept: Share of connections that only the client ends.
        requests_answered: Share of requests that get the target's answer.
        latency_ms: Time within which a request is answered.
        latency_share: Share of requests answered within that time.
    """

    connections_kept: Share = 0.9999
    requests_answered: Share = 0.999
    latency_ms: PositiveMs = 1000
    latency_share: Share = 0.99
