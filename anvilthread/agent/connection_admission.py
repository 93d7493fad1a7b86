"""The interface that decides about first packets."""

from typing import Protocol

from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.first_packet_action import FirstPacketAction


class ConnectionAdmission(Protocol):
    """Decides whether an agent takes one more connection."""

    def decide(
        self, datagram: Encapsulated, connections: int
    ) -> FirstPacketAction:
        """Decides on a first packet; may name another alternate in it.

        Args:
            datagram: The first packet.
            connections: Open connections at this agent.
        """
