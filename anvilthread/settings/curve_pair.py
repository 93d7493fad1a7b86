"""The ZeroMQ CURVE key pair of a cluster."""

from typing import Self

import zmq


class CurvePair:
    """One key pair that every node holds, as server and as client.

    Args:
        public: Public key, 40 bytes in Z85.
        secret: Secret key, 40 bytes in Z85.
    """

    __slots__ = ('_public', '_secret')

    def __init__(self, *, public: bytes, secret: bytes) -> None:
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
            ValueError: If the secret is not 40 bytes in Z85.
        """
        try:
            return cls(public=zmq.curve_public(secret), secret=secret)
        except (KeyError, ValueError, zmq.ZMQError):
            raise ValueError('a CURVE secret is not Z85') from None
