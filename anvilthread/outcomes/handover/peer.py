"""Another agent of the service."""

import msgspec

from anvilthread.outcomes.agent_identity import AgentIdentity


class Peer(msgspec.Struct, frozen=True, kw_only=True):
    """An agent that can accept requests, with its last known load.

    Args:
        identity: Address and incarnation.
        busy: Slots in use.
        waiting: Requests that wait for a slot.
        slots: Requests that its target can run at once.
    """

    identity: AgentIdentity
    busy: int
    waiting: int
    slots: int

    @property
    def utilisation(self) -> float:
        """Running and waiting requests per slot."""
        return (self.busy + self.waiting) / max(self.slots, 1)
