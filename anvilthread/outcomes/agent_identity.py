"""Which agent this is."""

import msgspec

from anvilthread.address import Address


class AgentIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Names one process for as long as it lives.

    Args:
        address: Address at which other agents hand requests over.
        incarnation: Higher than that of every earlier process at this
            address. It stays the same for the life of the process.
    """

    address: Address
    incarnation: int
