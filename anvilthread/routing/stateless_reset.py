"""Stateless resets (RFC 9000, 10.3)."""

import os
from typing import Final

from anvilthread.routing.connection_id_codec import ConnectionIdCodec

#: Size at which a reset is indistinguishable from a short-header packet.
_RESET_SIZE: Final = 43
_TOKEN_SIZE: Final = 16
_MIN_SIZE: Final = 21
_FORM_MASK: Final = 0x3F
_SHORT_FORM: Final = 0x40


def stateless_reset(
    codec: ConnectionIdCodec,
    connection_id: bytes,
    trigger_size: int,
) -> bytes | None:
    """Builds the reset for a connection without state.

    Args:
        codec: Codec that computes the reset token.
        connection_id: Destination connection ID of the received packet.
        trigger_size: Length of that packet in bytes. A reset is always
            shorter than the packet that triggers it, so that two endpoints
            cannot answer each other's resets in an endless loop.

    Returns:
        The datagram, or None if the received packet is too short for a reset.
    """
    size = min(_RESET_SIZE, trigger_size - 1)
    if size < _MIN_SIZE:
        return None
    unpredictable_bits = bytearray(os.urandom(size - _TOKEN_SIZE))
    unpredictable_bits[0] = _SHORT_FORM | (unpredictable_bits[0] & _FORM_MASK)
    return bytes(unpredictable_bits) + codec.reset_token(connection_id)
