"""Encryption of routable connection IDs."""

import hashlib
from typing import Final

from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

from anvilthread.address import Address
from anvilthread.error import AnvilthreadError
from anvilthread.routing.connection_id import ConnectionId

#: Length in bytes of a connection ID: one byte with the key number and one
#: AES block.
CONNECTION_ID_SIZE: Final = 17

#: Valid key numbers; the QUIC-LB drafts reserve the highest, 7.
KEY_NUMBERS: Final = range(7)

#: Length in bytes of a QUIC stateless reset token (RFC 9000, 10.3).
RESET_TOKEN_SIZE: Final = 16

_KEY_NUMBER_SHIFT: Final = 5
_SHORT_HEADER_BITS: Final = 0xC0
_SHORT_HEADER: Final = 0x40
_SHORT_BLOCK: Final = slice(2, 1 + CONNECTION_ID_SIZE)
_SERVICE_END: Final = 2
_ADDRESS_END: Final = 8
_INCARNATION_END: Final = 11
_COUNTER_END: Final = 14
_CHECK_BYTES: Final = bytes(2)
_FIELD_MASK: Final = 0xFFFFFF


class ConnectionIdKeyError(AnvilthreadError):
    """The connection ID keys of the settings cannot be used."""


class ConnectionIdCodec:
    """Encrypts and decrypts connection IDs with one of several keys.

    The first byte carries the key number in its three high bits, as in the
    QUIC-LB drafts; the remaining 16 bytes are one AES-128 block.

    Args:
        keys: AES-128 keys of 16 bytes by key number.
        active: Number of the key for new connection IDs.

    Raises:
        ConnectionIdKeyError: If a number or a key length is out of range.
    """

    __slots__ = ('_active', '_decryptors', '_encryptors', '_reset_keys')

    def __init__(self, *, keys: dict[int, bytes], active: int) -> None:
        _check_keys(keys, active)
        self._active = active
        ciphers = {
            number: Cipher(algorithms.AES128(key), modes.ECB())  # noqa: S305
            for number, key in keys.items()
        }
        # ECB contexts have no chaining state, so one is shared by all packets.
        self._encryptors = {
            number: cipher.encryptor() for number, cipher in ciphers.items()
        }
        self._decryptors = {
            number: cipher.decryptor().update
            for number, cipher in ciphers.items()
        }
        self._reset_keys = dict(keys)

    @property
    def active(self) -> int:
        """Number of the key for new connection IDs."""
        return self._active

    def encode(self, connection_id: ConnectionId) -> bytes:
        """Encrypts a connection ID with the active key.

        Args:
            connection_id: The fields to encrypt.

        Returns:
            The 17 bytes of the connection ID in QUIC packets.
        """
        incarnation = connection_id.incarnation & _FIELD_MASK
        counter = connection_id.counter & _FIELD_MASK
        block = b''.join(
            (
                connection_id.service.to_bytes(2, 'big'),
                connection_id.agent.pack(),
                incarnation.to_bytes(3, 'big'),
                counter.to_bytes(3, 'big'),
                _CHECK_BYTES,
            )
        )
        first = bytes((self._active << _KEY_NUMBER_SHIFT,))
        return first + self._encryptors[self._active].update(block)

    def decrypt(self, encrypted: bytes) -> bytes | None:
        """Returns the plain block if its check bytes match.

        The forwarding path uses this method because it creates no object per
        packet; :meth:`decode` returns the named fields.
        """
        if len(encrypted) != CONNECTION_ID_SIZE:
            return None
        update = self._decryptors.get(encrypted[0] >> _KEY_NUMBER_SHIFT)
        if update is None:
            return None
        block = update(encrypted[1:])
        return block if block.endswith(_CHECK_BYTES) else None

    def decrypt_short(self, datagram: bytes) -> bytes | None:
        """Returns the plain block of a packet with a short header.

        Nearly all packets take this path, so it neither copies the connection
        ID nor calls the header parser.

        Returns:
            None if the first packet has a long header or is malformed, or if
            its connection ID was not issued with one of the keys.
        """
        if len(datagram) <= CONNECTION_ID_SIZE:
            return None
        if datagram[0] & _SHORT_HEADER_BITS != _SHORT_HEADER:
            return None
        update = self._decryptors.get(datagram[1] >> _KEY_NUMBER_SHIFT)
        if update is None:
            return None
        block = update(datagram[_SHORT_BLOCK])
        return block if block.endswith(_CHECK_BYTES) else None

    def decode(self, encrypted: bytes) -> ConnectionId | None:
        """Decrypts a connection ID.

        Args:
            encrypted: Bytes from a QUIC packet.

        Returns:
            The fields, or None if the ID was not issued with one of the keys.
        """
        block = self.decrypt(encrypted)
        if block is None:
            return None
        return ConnectionId(
            service=int.from_bytes(block[:_SERVICE_END], 'big'),
            agent=Address.unpack(block[_SERVICE_END:_ADDRESS_END]),
            incarnation=int.from_bytes(
                block[_ADDRESS_END:_INCARNATION_END], 'big'
            ),
            counter=int.from_bytes(block[_INCARNATION_END:_COUNTER_END], 'big'),
        )

    def reset_token(self, encrypted: bytes) -> bytes:
        """Returns the stateless reset token of a connection ID.

        Every node with the keys computes the same token, so a balancer can
        reset the connections of a dead agent (RFC 9000, 10.3.2).
        """
        key = self._reset_keys[encrypted[0] >> _KEY_NUMBER_SHIFT]
        return hashlib.blake2b(
            encrypted, key=key, digest_size=RESET_TOKEN_SIZE, person=b'reset'
        ).digest()


def _check_keys(keys: dict[int, bytes], active: int) -> None:
    if active not in keys:
        raise ConnectionIdKeyError(
            reason=f'active connection ID key {active} is not among the keys',
            remedy='add the key or name another one as active',
        )
    for number, key in keys.items():
        if (
            number not in KEY_NUMBERS
            or len(key) != algorithms.AES128.key_size // 8
        ):
            raise ConnectionIdKeyError(
                reason=f'connection ID key {number} is not usable',
                remedy='use numbers 0 to 6 and keys of 16 bytes',
            )
