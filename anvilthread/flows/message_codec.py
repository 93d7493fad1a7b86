"""Binary encoding of the messages between nodes."""

import msgspec

from anvilthread.flows.messages import AnyMessage

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(
    AnyMessage
)


def encode_message(message: AnyMessage) -> bytes:
    """Encodes a message."""
    return _encoder.encode(message)


def decode_message(content: bytes) -> AnyMessage:
    """Decodes a message.

    Raises:
        msgspec.DecodeError: If the bytes are not a message.
    """
    return _decoder.decode(content)
