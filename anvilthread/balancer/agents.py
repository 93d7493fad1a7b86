"""What a balancer needs to know about agents."""

from typing import Protocol


class Agents(Protocol):
    """Agents whose connections are known to be lost."""

    def must_reset(self, agent: bytes) -> bool:
        """Tells whether clients of an agent should be sent a reset.

        Args:
            agent: Packed data address.
        """
