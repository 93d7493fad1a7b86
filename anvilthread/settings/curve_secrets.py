"""The CURVE secrets of a cluster as the key file has them."""

from typing import Annotated, TypeAlias

import zmq
from msgspec import Meta, Struct

from anvilthread.settings.curve_pair import CurvePair

CurveSecret: TypeAlias = Annotated[str, Meta(min_length=40, max_length=40)]


class CurveSecrets(
    Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Secret keys in Z85 form; the public keys follow from them.

    Attributes:
        server_secret: Secret key of the server identity.
        client_secret: Secret key of the client identity.
    """

    server_secret: CurveSecret
    client_secret: CurveSecret

    @classmethod
    def generate(cls) -> 'CurveSecrets':
        """Draws both keys."""
        _, server = zmq.curve_keypair()
        _, client = zmq.curve_keypair()
        return cls(server_secret=server.decode(), client_secret=client.decode())

    def pair(self) -> CurvePair:
        """Computes the public keys.

        Raises:
            ValueError: If a secret is not Z85.
        """
        server = self.server_secret.encode()
        client = self.client_secret.encode()
        try:
            return CurvePair(
                server_public=zmq.curve_public(server),
                server_secret=server,
                client_public=zmq.curve_public(client),
                client_secret=client,
            )
        except (ValueError, zmq.ZMQError):
            raise ValueError('a CURVE secret is not Z85') from None
