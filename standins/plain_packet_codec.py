"""A packet format for tests, different from that of any platform."""

import msgspec

from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.flow_packet import FlowPacket

#: First bytes of an answer that reports a failure of the target.
FAILURE_PREFIX = b'failure:'

#: First bytes of an answer that says that the target is overloaded.
REFUSAL_PREFIX = b'refusal:'


class PlainPacket(msgspec.Struct, frozen=True, kw_only=True):
    """A packet of either endpoint of a flow."""

    key: bytes
    flags: str = ''
    sequence: int = 0
    acknowledged: int = 0
    body: bytes = b''
    mark: int = 0
    is_bounced: bool = False


_decoder = msgspec.msgpack.Decoder(PlainPacket)


def encode_packet(packet: PlainPacket) -> bytes:
    """Encodes a packet."""
    return msgspec.msgpack.encode(packet)


def decode_packet(content: bytes) -> PlainPacket:
    """Decodes a packet.

    Raises:
        msgspec.DecodeError: If the bytes are not a packet.
    """
    return _decoder.decode(content)


class PlainPacketCodec:
    """Decodes and rewrites :class:`PlainPacket`."""

    __slots__ = ()

    def from_client(self, content: bytes) -> FlowPacket | None:
        """Decodes a packet that a client has sent; None if malformed."""
        try:
            packet = decode_packet(content)
        except msgspec.DecodeError:
            return None
        return FlowPacket(
            key=FlowKey(packet.key),
            content=content,
            is_syn='S' in packet.flags,
            is_ack='A' in packet.flags,
            is_fin='F' in packet.flags,
            is_reset='R' in packet.flags,
            is_bounced=packet.is_bounced,
            mark=packet.mark,
            acknowledged=packet.acknowledged,
            size=len(packet.body),
        )

    def from_target(self, content: bytes) -> FlowPacket | None:
        """Decodes a packet from a target, including a bounced one."""
        return self.from_client(content)

    def marked(self, content: bytes, mark: int) -> bytes:
        """Returns the packet with a mark, which a target echoes unchanged."""
        packet = decode_packet(content)
        return encode_packet(msgspec.structs.replace(packet, mark=mark))

    def unbounced(self, content: bytes) -> bytes:
        """Returns a bounced packet as its sender had sent it."""
        packet = decode_packet(content)
        return encode_packet(
            msgspec.structs.replace(packet, mark=0, is_bounced=False)
        )

    def request_id(self, content: bytes) -> str:
        """Returns the id of the request that a packet begins, for logs."""
        return decode_packet(content).body.decode()

    def status(self, content: bytes) -> int:
        """Returns the status of the answer that a packet begins; 0 if none."""
        body = decode_packet(content).body
        if body.startswith(FAILURE_PREFIX):
            return 500
        if body.startswith(REFUSAL_PREFIX):
            return 503
        return 200 if body else 0

    def reset(self, key: FlowKey, acknowledged: int) -> bytes:
        """Builds a packet that resets a flow at its client."""
        return encode_packet(
            PlainPacket(key=key, flags='R', sequence=acknowledged)
        )
