"""Long-term ZeroMQ CURVE keys of a cluster."""


class CurvePair:
    """The server and the client identity that every node uses.

    A node accepts requests with the server identity and sends them with the
    client identity. All keys are in Z85 form, 40 bytes each.

    Args:
        server_public: Public key of the server identity.
        server_secret: Secret key of the server identity.
        client_public: Public key of the client identity.
        client_secret: Secret key of the client identity.
    """

    __slots__ = (
        '_client_public',
        '_client_secret',
        '_server_public',
        '_server_secret',
    )

    def __init__(
        self,
        *,
        server_public: bytes,
        server_secret: bytes,
        client_public: bytes,
        client_secret: bytes,
    ) -> None:
        self._server_public = server_public
        self._server_secret = server_secret
        self._client_public = client_public
        self._client_secret = client_secret

    @property
    def server_public(self) -> bytes:
        """Public key of the server identity."""
        return self._server_public

    @property
    def server_secret(self) -> bytes:
        """Secret key of the server identity."""
        return self._server_secret

    @property
    def client_public(self) -> bytes:
        """Public key of the client identity."""
        return self._client_public

    @property
    def client_secret(self) -> bytes:
        """Secret key of the client identity."""
        return self._client_secret
