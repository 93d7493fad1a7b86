"""The identity of an agent process."""

import msgspec

from anvilthread.address import Address


class AgentIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies one process for its lifetime.

    Args:
        address: Address at which other agents hand requests over.
        incarnation: Higher than that of every earlier process at this
            address. It does not change while the process runs.
    """

    address: Address
    incarnation: int
