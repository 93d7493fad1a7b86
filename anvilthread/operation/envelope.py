"""Wire format of operation messages."""

from typing import Final

import msgspec

from anvilthread.decoding import DECODE_ERRORS

#: Distinguishes operation messages from others on a shared transport; the last
#: byte is the version.
MAGIC: Final = b'avo1'


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """A message and the number that matches an answer to its request.

    Attributes:
        request_id: Random number chosen by the client.
        body: The request or the answer in MessagePack.
    """

    request_id: int
    body: msgspec.Raw


_decoder: Final = msgspec.msgpack.Decoder(Envelope)


def pack(request_id: int, message: msgspec.Struct) -> bytes:
    """Encodes a message."""
    body = msgspec.Raw(msgspec.msgpack.encode(message))
    envelope = Envelope(request_id=request_id, body=body)
    return MAGIC + msgspec.msgpack.encode(envelope)


def unpack(payload: bytes) -> Envelope | None:
    """Decodes a message.

    Args:
        payload: Bytes received from the transport.

    Returns:
        The envelope, or None if this is not an operation message.
    """
    if not payload.startswith(MAGIC):
        return None
    try:
        return _decoder.decode(memoryview(payload)[len(MAGIC) :])
    except DECODE_ERRORS:
        return None
