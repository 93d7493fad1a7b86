"""Forms of the keys in a key file."""

import os
from collections.abc import Mapping
from typing import Annotated, Final, TypeAlias

from msgspec import Meta

from anvilthread.settings.curve_secrets import CurveSecrets
from anvilthread.settings.key_kind import KeyKind

_CONNECTION_ID_BYTES: Final = 16
_SECRET_BYTES: Final = 32

ConnectionIdHex: TypeAlias = Annotated[
    str, Meta(pattern='^[0-9a-f]{32}$', description='16 bytes in hexadecimal')
]
SecretHex: TypeAlias = Annotated[
    str, Meta(pattern='^[0-9a-f]{64}$', description='32 bytes in hexadecimal')
]

#: A key as the file has it.
KeyText: TypeAlias = str | CurveSecrets

#: Type of the keys of each kind.
KEY_TYPES: Final[Mapping[KeyKind, object]] = {
    KeyKind.CONNECTION_ID: ConnectionIdHex,
    KeyKind.DATAGRAM: SecretHex,
    KeyKind.CURVE: CurveSecrets,
    KeyKind.EXECUTION: SecretHex,
}


def new_key(kind: KeyKind) -> KeyText:
    """Draws a key from the random source of the system."""
    if kind is KeyKind.CURVE:
        return CurveSecrets.generate()
    if kind is KeyKind.CONNECTION_ID:
        return os.urandom(_CONNECTION_ID_BYTES).hex()
    return os.urandom(_SECRET_BYTES).hex()
