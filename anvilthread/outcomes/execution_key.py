"""The content of an execution key."""

import msgspec

from anvilthread.address import Address


class ExecutionKey(msgspec.Struct, frozen=True, kw_only=True):
    """The content that the issuing agent seals into a key.

    Args:
        service: Number of the service that the key is for.
        owner: Request address of the issuing agent, which alone decides
            whether the request runs.
        incarnation: Incarnation of the issuing agent.
        expires_ms: Monotonic time of the owner. Only the owner reads it, so
            neither clock differences nor steps of wall time matter.
        number: Number of the key within the incarnation.
    """

    service: int
    owner: Address
    incarnation: int
    expires_ms: int
    number: int
