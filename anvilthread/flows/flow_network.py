"""The interface to the network of the platform."""

from typing import Protocol

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.messages import AnyMessage


class FlowNetwork(Protocol):
    """Sends without blocking; what cannot be sent is lost."""

    def send_node(self, host: str, message: AnyMessage) -> None:
        """Sends a message to another node."""

    def send_client(self, key: FlowKey, content: bytes) -> None:
        """Sends a packet to the client of a flow."""

    def send_target(self, content: bytes) -> None:
        """Sends a packet to the target beside this process."""
