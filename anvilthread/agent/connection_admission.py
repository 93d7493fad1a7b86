"""The interface that decides about first packets."""

from typing import Protocol


class ConnectionAdmission(Protocol):
    """Decides whether an agent takes one more connection."""

    def accepts(self, service: int, connections: int) -> bool:
        """Tells whether to accept a first packet here.

        Args:
            service: Number of the service.
            connections: Open connections at this agent.
        """

    def is_closed(self) -> bool:
        """Tells whether no connection is taken at all, as while draining."""
