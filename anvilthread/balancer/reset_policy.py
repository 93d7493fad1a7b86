"""The interface that decides whether clients are sent a reset."""

from typing import Protocol


class ResetPolicy(Protocol):
    """Knows which agents have lost their connections."""

    def must_reset(self, agent: bytes) -> bool:
        """Returns whether clients of an agent should be sent a reset.

        Args:
            agent: Packed data address.
        """
