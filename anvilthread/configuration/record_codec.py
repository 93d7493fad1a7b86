"""Encoding of revision records in the store."""

import hashlib
import zlib
from typing import Final

import msgspec
from result import Err, Ok, Result

from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.decoding import DECODE_ERRORS
from anvilthread.error import AnvilthreadError

#: Largest value that the store accepts.
MAX_RECORD_BYTES: Final = 1024 * 1024

#: Largest decompressed record, so that malformed input takes bounded memory.
_MAX_DECOMPRESSED_BYTES: Final = 64 * MAX_RECORD_BYTES
_DIGEST_BYTES: Final = 16
_encoder: Final = msgspec.msgpack.Encoder(order='deterministic')
_decoder: Final = msgspec.msgpack.Decoder(ConfigurationRecord)
_VALUE_ERRORS: Final = (zlib.error, *DECODE_ERRORS)


class RecordSizeError(AnvilthreadError):
    """The configuration does not fit into one value of the store."""


class RecordFormatError(AnvilthreadError):
    """The bytes do not hold a revision record."""


def encode_record(
    record: ConfigurationRecord,
) -> Result[bytes, RecordSizeError]:
    """Compresses a record into one value of the store."""
    value = zlib.compress(_encoder.encode(record))
    if len(value) <= MAX_RECORD_BYTES:
        return Ok(value)
    return Err(
        RecordSizeError(
            reason=f'the configuration takes {len(value)} bytes compressed, '
            f'more than {MAX_RECORD_BYTES}',
            remedy='remove services that no site carries, or comments',
        )
    )


def decode_record(
    value: bytes,
) -> Result[ConfigurationRecord, RecordFormatError]:
    """Decodes a value that :func:`encode_record` returned."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(value, _MAX_DECOMPRESSED_BYTES)
        return Ok(_decoder.decode(plain))
    except _VALUE_ERRORS as error:
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
    return hashlib.blake2b(plain, digest_size=_DIGEST_BYTES).digest()
