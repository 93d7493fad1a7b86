"""Packets as clients and targets of the platform encode them.

Implemented from the platform's published example, independently of the codec
under test, so that a mistake in either of them is detected.
"""

import struct
from ipaddress import IPv4Address
from typing import Final

import msgspec

# flags, pad, echo, len, seq, ack, sum, dst, src, dport, sport
_HEADER: Final = struct.Struct('>B5sIHIIIIIHH')
SYN: Final = 16
ACK: Final = 1
FIN: Final = 32
RESET: Final = 2
BOUNCED: Final = 8

#: The platform's key is not disclosed; the stand-ins use one of their own.
_CHECKSUM_KEY: Final = 0x5EED


class PlatformPacket(msgspec.Struct, frozen=True, kw_only=True):
    """A packet as an endpoint of a flow sends or receives it."""

    source: tuple[str, int]
    destination: tuple[str, int]
    flags: int
    sequence: int = 0
    acknowledged: int = 0
    echo: int = 0
    body: bytes = b''

    @property
    def checksum(self) -> int:
        """Keyed checksum of all fields except echo and the bounced flag."""
        return _checksum(self)

    def encode(self, checksum: int | None = None) -> bytes:
        """Encodes the packet."""
        header = _HEADER.pack(
            self.flags,
            bytes(5),
            self.echo,
            len(self.body),
            self.sequence,
            self.acknowledged,
            self.checksum if checksum is None else checksum,
            int(IPv4Address(self.destination[0])),
            int(IPv4Address(self.source[0])),
            self.destination[1],
            self.source[1],
        )
        return header + self.body


def read_packet(content: bytes) -> tuple[PlatformPacket, bool]:
    """Decodes a packet; returns it and whether its checksum matches.

    Raises:
        struct.error: If the packet is too short.
    """
    fields = _HEADER.unpack_from(content)
    packet = PlatformPacket(
        source=(str(IPv4Address(fields[8])), fields[10]),
        destination=(str(IPv4Address(fields[7])), fields[9]),
        flags=fields[0],
        sequence=fields[4],
        acknowledged=fields[5],
        echo=fields[2],
        body=content[_HEADER.size :],
    )
    return packet, fields[6] == packet.checksum


def _checksum(packet: PlatformPacket) -> int:
    covered = (
        packet.flags & ~BOUNCED,
        packet.sequence,
        packet.acknowledged,
        packet.source,
        packet.destination,
        packet.body,
    )
    total = _CHECKSUM_KEY
    for byte in repr(covered).encode():
        total = (total * 31 + byte) & 0xFFFFFFFF
    return total
