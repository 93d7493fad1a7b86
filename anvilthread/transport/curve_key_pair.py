"""Keys of the encryption between nodes."""

from typing import Final, Self

import zmq

from anvilthread.error import AnvilthreadError

_KEY_SIZE: Final = 40


class CurveKeyError(AnvilthreadError):
    """The CURVE keys of the settings cannot be used."""


class CurveKeyPair:
    """One key pair that every node of the cluster holds.

    Args:
        public: Public key, 40 bytes in Z85.
        secret: Secret key, 40 bytes in Z85.

    Raises:
        CurveKeyError: If the two keys do not belong together.
    """

    __slots__ = ('_public', '_secret')

    def __init__(self, *, public: bytes, secret: bytes) -> None:
        if not _belong_together(public, secret):
            raise CurveKeyError(
                reason='a CURVE public key does not belong to its secret key',
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
        """Computes the public key.

        Raises:
            CurveKeyError: If the secret is not 40 bytes in Z85.
        """
        public = _public_of(secret)
        if not public:
            raise CurveKeyError(
                reason='a CURVE secret is not Z85',
                remedy='generate a new pair and give it to every node',
            )
        return cls(public=public, secret=secret)

    @classmethod
    def generate(cls) -> Self:
        """Makes a new pair."""
        public, secret = zmq.curve_keypair()
        return cls(public=public, secret=secret)


def _belong_together(public: bytes, secret: bytes) -> bool:
    return bool(public) and _public_of(secret) == public


def _public_of(secret: bytes) -> bytes:
    """Returns the public key, or nothing for a malformed secret."""
    if len(secret) != _KEY_SIZE:
        return b''
    try:
        return bytes(zmq.curve_public(secret))
    except (ValueError, KeyError, zmq.ZMQError):
        return b''
