"""Sealing of execution keys."""

import base64
import binascii
import struct
from collections.abc import Mapping
from typing import Final

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESSIV

from anvilthread.address import Address
from anvilthread.error import AnvilthreadError
from anvilthread.outcomes.execution_key import ExecutionKey

_CONTENT: Final = struct.Struct('!H6sQQQ')
#: Number of the key, synthetic initialisation vector (RFC 5297) and content.
_PACKED_BYTES: Final = 1 + 16 + _CONTENT.size
_ASSOCIATED_DATA: Final = b'anvilthread execution key'
_KEY_SIZES: Final = frozenset((32, 48, 64))


class SealingKeyError(AnvilthreadError):
    """The sealing keys of the settings cannot be used."""


class KeySealer:
    """Encrypts and authenticates execution keys with one of several keys.

    AES-SIV needs no nonce: agents share the keys, and random nonces of many
    agents would come close to the limit of AES-GCM. A key must stay in the
    settings for as long as records of execution keys that it sealed are kept.

    Args:
        keys: AES-SIV keys of 32, 48 or 64 bytes by number, 0 to 255.
        active: Number of the key for new execution keys.

    Raises:
        SealingKeyError: If a number or a key length is out of range.
    """

    __slots__ = ('_active', '_ciphers')

    def __init__(self, *, keys: Mapping[int, bytes], active: int) -> None:
        self.use_keys(keys=keys, active=active)

    def use_keys(self, *, keys: Mapping[int, bytes], active: int) -> None:
        """Replaces the sealing keys, as for a new sealer.

        Raises:
            SealingKeyError: If a number or a key length is out of range. The
                earlier keys then stay in use.
        """
        for number, key in keys.items():
            if number not in range(256) or len(key) not in _KEY_SIZES:
                raise SealingKeyError(
                    reason=f'sealing key {number} is not usable',
                    remedy='use numbers 0 to 255 and 32, 48 or 64 bytes',
                )
        if active not in keys:
            raise SealingKeyError(
                reason=f'active sealing key {active} is not among the keys',
                remedy='add the key or name another one as active',
            )
        self._active = active
        self._ciphers = {number: AESSIV(key) for number, key in keys.items()}

    def seal(self, key: ExecutionKey) -> str:
        """Returns the text that the client sends as ``Idempotency-Key``."""
        content = _CONTENT.pack(
            key.service,
            key.owner.pack(),
            key.incarnation,
            key.expires_ms,
            key.number,
        )
        sealed = self._ciphers[self._active].encrypt(
            content, [_ASSOCIATED_DATA]
        )
        packed = bytes((self._active, *sealed))
        return base64.urlsafe_b64encode(packed).rstrip(b'=').decode()

    def lacks_sealing_key(self, text: str) -> bool:
        """Returns whether this agent may lack the key that sealed a text.

        The sealing key may have been removed from the settings, or this agent
        may not have loaded it yet.
        """
        packed = _decode(text)
        return len(packed) == _PACKED_BYTES and packed[0] not in self._ciphers

    def open(self, text: str) -> ExecutionKey | None:
        """Returns the content, or None for a text that no agent sealed."""
        packed = _decode(text)
        cipher = self._ciphers.get(packed[0]) if packed else None
        if cipher is None:
            return None
        try:
            content = cipher.decrypt(packed[1:], [_ASSOCIATED_DATA])
        except (InvalidTag, ValueError):
            return None
        service, owner, incarnation, expires_ms, number = _CONTENT.unpack(
            content
        )
        return ExecutionKey(
            service=service,
            owner=Address.unpack(owner),
            incarnation=incarnation,
            expires_ms=expires_ms,
            number=number,
        )


def _decode(text: str) -> bytes:
    # Some clients send the value as a quoted string (RFC 8941).
    unquoted = text.strip().strip('"')
    padding = '=' * (-len(unquoted) % 4)
    try:
        return base64.b64decode(f'{unquoted}{padding}', b'-_', validate=True)
    except (binascii.Error, ValueError):
        return b''
