"""Stateless resets (RFC 9000, 10.3)."""

import os
from typing import Final

from anvilthread.routing.connection_id_codec import ConnectionIdCodec

#: Size at which a reset cannot be told from a short-header packet.
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
    """Builds the reset for a connection whose state is gone.

    Args:
        codec: Computes the token.
        connection_id: Destination connection ID of the packet that came in.
        trigger_size: Length of that packet in bytes. A reset is always
            shorter than its trigger, so that two endpoints cannot answer each
            other's resets for ever.

    Returns:
        The datagram, or None if the trigger is too short to answer.
    """
    size = min(_RESET_SIZE, trigger_size - 1)
    if size < _MIN_SIZE:
        return None
    noise = bytearray(os.urandom(size - _TOKEN_SIZE))
    noise[0] = _SHORT_FORM | (noise[0] & _FORM_MASK)
    return bytes(noise) + codec.reset_token(connection_id)
