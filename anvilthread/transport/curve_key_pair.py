"""CURVE keys of the encryption between nodes."""

from typing import Final, Self

import zmq

from anvilthread.error import AnvilthreadError

_Z85_KEY_BYTES: Final = 40


class CurveKeyError(AnvilthreadError):
    """The CURVE keys in the settings cannot be used."""


class CurveKeyPair:
    """A key pair that all nodes of the cluster share.

    Args:
        public: Public key, 40 bytes in Z85.
        secret: Secret key, 40 bytes in Z85.

    Raises:
        CurveKeyError: If the public key does not match the secret key.
    """

    __slots__ = ('_public', '_secret')

    def __init__(self, *, public: bytes, secret: bytes) -> None:
        if not _keys_match(public, secret):
            raise CurveKeyError(
                reason='a CURVE public key does not match its secret key',
                remedy='generate a new pair and give it to every node',
            )
        self._public = public
        self._secret = secret

    @property
    def public(self) -> bytes:
        """Public key in Z85."""
        return self._public

    @property
    def secret(self) -> bytes:
        """Secret key in Z85."""
        return self._secret

    @classmethod
    def of_secret(cls, secret: bytes) -> Self:
        """Derives the public key from a secret key.

        Raises:
            CurveKeyError: If the secret is not 40 bytes in Z85.
        """
        public = _derive_public_key(secret)
        if not public:
            raise CurveKeyError(
                reason='a CURVE secret is not Z85',
                remedy='generate a new pair and give it to every node',
            )
        return cls(public=public, secret=secret)

    @classmethod
    def generate(cls) -> Self:
        """Generates a new pair."""
        public, secret = zmq.curve_keypair()
        return cls(public=public, secret=secret)


def _keys_match(public: bytes, secret: bytes) -> bool:
    return bool(public) and _derive_public_key(secret) == public


def _derive_public_key(secret: bytes) -> bytes:
    """Derives the public key; empty for a malformed secret key."""
    if len(secret) != _Z85_KEY_BYTES:
        return b''
    try:
        return bytes(zmq.curve_public(secret))
    except (ValueError, KeyError, zmq.ZMQError):
        return b''
