"""The interface that places new connections."""

from typing import Protocol

from anvilthread.address import Address


class PlacementChoice(Protocol):
    """The agent chosen for a new connection, and an alternate."""

    @property
    def agent(self) -> Address:
        """Data address of the chosen agent."""

    @property
    def alternate(self) -> Address | None:
        """Data address of the second choice; None if there is none."""


class ConnectionPlacer(Protocol):
    """Chooses an agent for the first packet of a connection."""

    def place(self, service: int, flow_key: bytes) -> PlacementChoice | None:
        """Returns the choice, or None if the service has no agent.

        Args:
            service: Number of the service.
            flow_key: Identifies the connection; equal for all
                transmissions of its first packet.
        """
