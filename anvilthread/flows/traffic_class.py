"""What a route requires of its requests."""

from typing import Final

import msgspec

#: Lowest priority, and the one of routes that state none; 0 is the highest.
LOWEST_PRIORITY: Final = 9


class TrafficClass(msgspec.Struct, frozen=True, kw_only=True):
    """Priority and time limits of the requests of a route.

    Attributes:
        priority: Rank among the requests of a service; 0 is the highest.
        objective_ms: Time within which an answer is in time; 0 if none is
            stated.
        timeout_ms: Time after which a client gives up; 0 if none is stated.
        is_idempotent: Whether a request may run more than once.
    """

    priority: int = LOWEST_PRIORITY
    objective_ms: int = 0
    timeout_ms: int = 0
    is_idempotent: bool = False
