"""Creation of routable connection IDs."""

import itertools

from anvilthread.address import Address
from anvilthread.routing.connection_id import ConnectionId
from anvilthread.routing.connection_id_codec import ConnectionIdCodec


class ConnectionIdIssuer:
    """Issues the connection IDs of one agent incarnation.

    Args:
        codec: Encrypts the connection IDs; may be replaced on key rotation.
        agent: Data address of this agent.
        incarnation: Incarnation of this agent; its low 24 bits are used.
    """

    __slots__ = ('_agent', '_counter', '_incarnation', 'codec')

    def __init__(
        self,
        *,
        codec: ConnectionIdCodec,
        agent: Address,
        incarnation: int,
    ) -> None:
        self.codec = codec
        self._agent = agent
        self._incarnation = incarnation
        self._counter = itertools.count()

    def issue(self, service: int) -> bytes:
        """Returns a new connection ID for a service."""
        return self.codec.encode(
            ConnectionId(
                service=service,
                agent=self._agent,
                incarnation=self._incarnation,
                counter=next(self._counter),
            )
        )

    def reset_token(self, connection_id: bytes) -> bytes:
        """Returns the stateless reset token of a connection ID."""
        return self.codec.reset_token(connection_id)
