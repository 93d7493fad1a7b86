"""Authentication of datagrams with shared keys."""

import hashlib
import hmac
from typing import Final

from anvilthread.error import AnvilthreadError

#: Length of a tag in bytes.
TAG_SIZE: Final = 8

#: Permitted lengths of a key in bytes.
KEY_SIZES: Final = range(16, hashlib.blake2b.MAX_KEY_SIZE + 1)


class DatagramKeyError(AnvilthreadError):
    """The datagram keys in the settings cannot be used."""


class DatagramAuthenticator:
    """Tags datagrams with one key and verifies tags of several.

    Args:
        keys: The current key first; tags of the others are accepted during a
            key rotation.
        purpose: Up to 16 bytes of domain separation, so that a datagram of one
            kind is not accepted as another kind under the same key.

    Raises:
        DatagramKeyError: If there is no key or a key has a wrong length.
    """

    __slots__ = ('_keyed_states',)

    def __init__(self, *, keys: tuple[bytes, ...], purpose: bytes) -> None:
        if not keys or any(len(key) not in KEY_SIZES for key in keys):
            raise DatagramKeyError(
                reason='a datagram key is missing or has a wrong length',
                remedy='give at least one key of 16 to 64 bytes',
            )
        # Copying a keyed hash state is cheaper than hashing the key for every
        # datagram.
        self._keyed_states = [
            hashlib.blake2b(key=key, digest_size=TAG_SIZE, person=purpose)
            for key in keys
        ]

    def seal(self, payload: bytes) -> bytes:
        """Returns the tag and the payload."""
        state = self._keyed_states[0].copy()
        state.update(payload)
        return state.digest() + payload

    def open(self, datagram: bytes) -> bytes | None:
        """Returns the payload, or None if the tag matches no accepted key."""
        # Copying a datagram is cheaper than creating a memoryview of it.
        payload = datagram[TAG_SIZE:]
        tag = datagram[:TAG_SIZE]
        for keyed_state in self._keyed_states:
            state = keyed_state.copy()
            state.update(payload)
            if hmac.compare_digest(state.digest(), tag):
                return payload
        return None
