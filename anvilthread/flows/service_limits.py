"""Limits of the targets of one service."""

import msgspec


class ServiceLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What the configuration says that each target of a service bears.

    Attributes:
        warmup_ms: Duration of the slow start of a target; 0 if none is stated.
        warmup_per_s: Requests per second that a cold target bears; 0 if none
            is stated, and cold targets are not limited.
        max_flows: Maximum number of open flows; 0 if none is stated.
    """

    warmup_ms: int = 0
    warmup_per_s: float = 0
    max_flows: int = 0
