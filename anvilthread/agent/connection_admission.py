"""Interface for the admission of connections."""

from typing import Protocol

from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.first_packet_action import FirstPacketAction


class ConnectionAdmission(Protocol):
    """Decides whether an agent accepts one more connection."""

    def decide(
        self, datagram: Encapsulated, connections: int
    ) -> FirstPacketAction:
        """Decides on a first packet; may replace its alternate.

        Args:
            datagram: The first packet.
            connections: Number of open connections at this agent.
        """
