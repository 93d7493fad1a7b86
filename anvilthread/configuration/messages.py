"""Messages that replicate the configuration between nodes."""

from typing import Final

import msgspec
from msgspec import Struct

from anvilthread.configuration.delta import Delta
from anvilthread.decoding import DECODE_ERRORS


class Notice(Struct, frozen=True, kw_only=True, array_like=True, tag=1):
    """Announces the revision that the sender holds."""

    revision: int


class Fetch(Struct, frozen=True, kw_only=True, array_like=True, tag=2):
    """Requests a higher revision than the one that the sender holds.

    Revision 0 requests the whole record.
    """

    revision: int


class Whole(Struct, frozen=True, kw_only=True, array_like=True, tag=3):
    """A whole record, compressed."""

    record: bytes


class Deltas(Struct, frozen=True, kw_only=True, array_like=True, tag=4):
    """Deltas to be applied one after the other."""

    deltas: tuple[Delta, ...]


Message = Notice | Fetch | Whole | Deltas

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode_message(payload: bytes) -> Message | None:
    """Decodes a message; returns None if it is malformed."""
    try:
        return _decoder.decode(payload)
    except DECODE_ERRORS:
        return None
