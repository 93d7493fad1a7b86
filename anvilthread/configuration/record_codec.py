"""Stored form of revision records."""

import hashlib
import zlib
from typing import Final

import msgspec
from result import Err, Ok, Result

from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.error import AnvilthreadError

#: Largest value of the store in bytes.
MAX_RECORD_SIZE: Final = 1024 * 1024

#: Largest decompressed record in bytes, against malformed input.
_MAX_PLAIN_SIZE: Final = 64 * MAX_RECORD_SIZE
_DIGEST_SIZE: Final = 16
_encoder: Final = msgspec.msgpack.Encoder(order='deterministic')
_decoder: Final = msgspec.msgpack.Decoder(ConfigurationRecord)


class RecordSizeError(AnvilthreadError):
    """The configuration does not fit into one value of the store."""


class RecordFormatError(AnvilthreadError):
    """The bytes do not hold a revision record."""


def encode_record(
    record: ConfigurationRecord,
) -> Result[bytes, RecordSizeError]:
    """Compresses a record into one value of the store."""
    value = zlib.compress(_encoder.encode(record))
    if len(value) <= MAX_RECORD_SIZE:
        return Ok(value)
    return Err(
        RecordSizeError(
            reason=f'the configuration takes {len(value)} bytes compressed, '
            f'more than {MAX_RECORD_SIZE}',
            remedy='remove services that no site carries, or comments',
        )
    )


def decode_record(
    value: bytes,
) -> Result[ConfigurationRecord, RecordFormatError]:
    """Reads a value that :func:`encode_record` wrote."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(value, _MAX_PLAIN_SIZE)
        return Ok(_decoder.decode(plain))
    except (zlib.error, msgspec.MsgspecError) as error:
        return Err(
            RecordFormatError(
                reason=f'the stored configuration is malformed: {error}',
                remedy='run the same version everywhere, or restore the '
                'record from a node',
            )
        )


def record_digest(record: ConfigurationRecord) -> bytes:
    """Returns a hash that is equal for equal records only."""
    plain = _encoder.encode(record)
    return hashlib.blake2b(plain, digest_size=_DIGEST_SIZE).digest()
