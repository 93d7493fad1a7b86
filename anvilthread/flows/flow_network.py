"""The interface to the network of the platform."""

from typing import Protocol

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.messages import AnyMessage


class FlowNetwork(Protocol):
    """Sends without blocking; a message that cannot be sent is dropped."""

    def send_to_node(self, host: str, message: AnyMessage) -> None:
        """Sends a message to another node."""

    def send_to_client(self, key: FlowKey, content: bytes) -> None:
        """Sends a packet to the client of a flow."""

    def send_to_target(self, content: bytes) -> None:
        """Sends a packet to the local target."""
