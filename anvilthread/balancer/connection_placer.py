"""The interface that places new connections."""

from typing import Protocol

from anvilthread.address import Address


class PlacedOn(Protocol):
    """Where a first packet goes."""

    @property
    def agent(self) -> Address:
        """Data address of the chosen agent."""

    @property
    def alternate(self) -> Address | None:
        """Data address of the second choice."""


class ConnectionPlacer(Protocol):
    """Chooses an agent for a first packet."""

    def place(self, service: int, flow_key: bytes) -> PlacedOn | None:
        """Returns the choice, or None if the service has no agent.

        Args:
            service: Number of the service.
            flow_key: The same for all first packets of one connection.
        """
