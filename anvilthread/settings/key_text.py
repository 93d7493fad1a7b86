"""Text formats of the keys in a key file."""

import os
from collections.abc import Mapping
from typing import Annotated, Final, TypeAlias

import zmq
from msgspec import Meta

from anvilthread.settings.key_kind import KeyKind

_CONNECTION_ID_BYTES: Final = 16
_SECRET_BYTES: Final = 32

ConnectionIdHex: TypeAlias = Annotated[
    str, Meta(pattern='^[0-9a-f]{32}$', description='16 bytes in hexadecimal')
]
SecretHex: TypeAlias = Annotated[
    str, Meta(pattern='^[0-9a-f]{64}$', description='32 bytes in hexadecimal')
]
CurveSecret: TypeAlias = Annotated[
    str,
    Meta(
        min_length=40,
        max_length=40,
        description='a secret key of 40 characters in Z85',
    ),
]

#: Type of the keys of each kind. The file contains only the secret key of a
#: CURVE pair; the public key is derived from it.
KEY_TYPES: Final[Mapping[KeyKind, object]] = {
    KeyKind.CONNECTION_ID: ConnectionIdHex,
    KeyKind.DATAGRAM: SecretHex,
    KeyKind.CURVE: CurveSecret,
    KeyKind.EXECUTION: SecretHex,
}


def new_key(kind: KeyKind) -> str:
    """Generates a key from the random source of the operating system."""
    if kind is KeyKind.CURVE:
        _, secret = zmq.curve_keypair()
        return secret.decode()
    if kind is KeyKind.CONNECTION_ID:
        return os.urandom(_CONNECTION_ID_BYTES).hex()
    return os.urandom(_SECRET_BYTES).hex()
