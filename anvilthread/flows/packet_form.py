"""The interface of packet codecs."""

from typing import Protocol

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_packet import FlowPacket


class PacketForm(Protocol):
    """Reads and writes the packets of one network."""

    def from_client(self, content: bytes) -> FlowPacket | None:
        """Reads a packet that a client has sent; None if malformed."""

    def from_target(self, content: bytes) -> FlowPacket | None:
        """Reads a packet from a target, bounced ones included."""

    def marked(self, content: bytes, mark: int) -> bytes:
        """Returns the packet with a mark that the target returns unread."""

    def unbounced(self, content: bytes) -> bytes:
        """Returns a bounced packet as its sender has sent it."""

    def request_id(self, content: bytes) -> str:
        """Returns the id of the request that begins in a packet, for logs."""

    def status(self, content: bytes) -> int:
        """Returns the status of the answer that begins in a packet; 0 if none."""

    def reset(self, key: FlowKey, acknowledged: int) -> bytes:
        """Makes a packet that ends a flow at its client.

        Args:
            key: The flow.
            acknowledged: Last position that the client has acknowledged.
        """
