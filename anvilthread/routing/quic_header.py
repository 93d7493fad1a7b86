"""The version-independent part of QUIC packet headers (RFC 8999)."""

from typing import Final

from anvilthread.routing.connection_id_codec import CONNECTION_ID_SIZE

#: Smallest datagram in which a client may send an Initial (RFC 9000, 14.1).
MIN_INITIAL_DATAGRAM_SIZE: Final = 1200

_LONG_FORM: Final = 0x80
_FIXED_BIT: Final = 0x40
_LENGTH_OFFSET: Final = 5
_LONG_ID_OFFSET: Final = 6
_SHORT_ID_END: Final = 1 + CONNECTION_ID_SIZE
_MAX_ID_SIZE: Final = 20
_TYPE_BITS: Final = 0x30
_VERSION_2: Final = b'\x6b\x33\x43\xcf'
_VERSION_2_INITIAL: Final = 0x10


def destination_id(datagram: bytes) -> bytes | None:
    """Returns the destination connection ID of a datagram's first packet.

    Args:
        datagram: Payload of a UDP datagram from a client.

    Returns:
        The connection ID, or None if the datagram is too short or malformed.
    """
    if len(datagram) < _SHORT_ID_END:
        return None
    first = datagram[0]
    if not first & _LONG_FORM:
        return datagram[1:_SHORT_ID_END] if first & _FIXED_BIT else None
    length = datagram[_LENGTH_OFFSET]
    end = _LONG_ID_OFFSET + length
    if length > _MAX_ID_SIZE or len(datagram) <= end:
        return None
    return datagram[_LONG_ID_OFFSET:end]


def has_long_header(datagram: bytes) -> bool:
    """Tells whether the first packet has a long header."""
    return bool(datagram and datagram[0] & _LONG_FORM)


def is_initial(datagram: bytes) -> bool:
    """Tells whether the first packet is an Initial of a client."""
    if len(datagram) < MIN_INITIAL_DATAGRAM_SIZE:
        return False
    if not has_long_header(datagram) or not datagram[0] & _FIXED_BIT:
        return False
    packet_type = datagram[0] & _TYPE_BITS
    if datagram[1:_LENGTH_OFFSET] == _VERSION_2:
        return packet_type == _VERSION_2_INITIAL
    return packet_type == 0
