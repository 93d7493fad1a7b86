"""Service-level indicators."""

from enum import StrEnum


class Indicator(StrEnum):
    """A ratio of good events to all events of a service."""

    CONNECTIONS_KEPT = 'connections_kept'
    REQUESTS_ANSWERED = 'requests_answered'
    LATENCY = 'latency'
