"""The interface of packet codecs."""

from typing import Protocol

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_packet import FlowPacket


class FlowPacketCodec(Protocol):
    """Parses and builds the packets of one network."""

    def from_client(self, content: bytes) -> FlowPacket | None:
        """Parses a packet from a client; None if malformed."""

    def from_target(self, content: bytes) -> FlowPacket | None:
        """Parses a packet from a target, or one that it has bounced; None if
        malformed.
        """

    def marked(self, content: bytes, mark: int) -> bytes:
        """Returns the packet with a mark, which a target echoes unchanged."""

    def unbounced(self, content: bytes) -> bytes:
        """Returns a bounced packet as its sender had sent it."""

    def request_id(self, content: bytes) -> str:
        """Returns the id of the request that a packet begins, for logs."""

    def status(self, content: bytes) -> int:
        """Returns the status of the answer that a packet begins; 0 if none."""

    def reset(self, key: FlowKey, acknowledged: int) -> bytes:
        """Builds a packet that resets a flow at its client.

        Args:
            key: The flow.
            acknowledged: Last stream position that the client has
                acknowledged.
        """
