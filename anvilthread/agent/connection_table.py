"""The connections of an agent by connection ID."""

from typing import Final

from anvilthread.address import Address
from anvilthread.agent.client_connection import ClientConnection

#: A handshake that takes longer is probably abandoned.
_ABANDONED_HANDSHAKE_MS: Final = 1000


class ConnectionTable:
    """Finds connections by connection IDs of the agent or the client.

    Until a client has received a connection ID of this agent, its packets
    carry the destination ID that the client chose, which is unique
    only together with its address.
    """

    __slots__ = ('_by_client', '_by_id', '_connections', '_half_open')

    def __init__(self) -> None:
        self._connections: dict[ClientConnection, ConnectionIds] = {}
        self._by_id: dict[bytes, ConnectionIds] = {}
        self._by_client: dict[tuple[Address, bytes], ClientConnection] = {}
        #: Connections whose handshake was incomplete at the last check.
        self._half_open: set[ClientConnection] = set()

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def half_open(self) -> int:
        """Number of connections whose handshake is not complete."""
        return len(self._unestablished())

    def count_active(self, now_ms: int) -> int:
        """Number of connections without those that clients have abandoned.

        A client whose first packets reached two agents continues with one of
        them; at the other, the handshake stays incomplete until it times out.

        Args:
            now_ms: Monotonic time.
        """
        abandoned = sum(
            now_ms - entry.opened_ms >= _ABANDONED_HANDSHAKE_MS
            for entry in self._unestablished()
        )
        return len(self._connections) - abandoned

    def connections(self) -> list[ClientConnection]:
        """Returns every connection."""
        return list(self._connections)

    def find(self, connection_id: bytes) -> ClientConnection | None:
        """Returns the connection for which this agent issued the ID."""
        ids = self._by_id.get(connection_id)
        return None if ids is None else ids.connection

    def find_initial(
        self, client: Address, client_chosen_id: bytes
    ) -> ClientConnection | None:
        """Returns the connection that a client opened with its chosen ID."""
        return self._by_client.get((client, client_chosen_id))

    def create_ids(
        self, client: Address, client_chosen_id: bytes
    ) -> 'ConnectionIds':
        """Returns the IDs of a connection that is about to be opened."""
        return ConnectionIds(
            by_id=self._by_id,
            client=client,
            client_chosen_id=client_chosen_id,
        )

    def add(self, connection: ClientConnection, ids: 'ConnectionIds') -> None:
        """Adds a connection under the IDs created for it."""
        ids.connection = connection
        self._connections[connection] = ids
        self._half_open.add(connection)
        self._by_client[ids.client_key] = connection

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection under all its IDs."""
        ids = self._connections.pop(connection)
        self._half_open.discard(connection)
        self._by_client.pop(ids.client_key, None)
        ids.clear()

    def _unestablished(self) -> set[ClientConnection]:
        # Established connections are not checked on each first packet: an
        # agent holds thousands of them and few others.
        self._half_open = {
            entry for entry in self._half_open if not entry.is_established
        }
        return self._half_open


class ConnectionIds:
    """The IDs of one connection.

    Args:
        by_id: Index of all connections of the agent; updated with the IDs of
            this connection.
        client: Address from which the client opened the connection.
        client_chosen_id: Destination connection ID of the first packet,
            which the client chose.
    """

    __slots__ = ('_by_id', '_issued', 'client_key', 'connection')

    def __init__(
        self,
        *,
        by_id: 'dict[bytes, ConnectionIds]',
        client: Address,
        client_chosen_id: bytes,
    ) -> None:
        self._by_id = by_id
        self._issued: set[bytes] = set()
        self.client_key = (client, client_chosen_id)
        self.connection: ClientConnection | None = None

    def issue(self, connection_id: bytes) -> None:
        """Adds an ID that this agent issued."""
        self._issued.add(connection_id)
        self._by_id[connection_id] = self

    def retire(self, connection_id: bytes) -> None:
        """Removes an ID that the client no longer uses."""
        self._issued.discard(connection_id)
        self._by_id.pop(connection_id, None)

    def clear(self) -> None:
        """Removes all IDs."""
        for connection_id in self._issued:
            self._by_id.pop(connection_id, None)
        self._issued.clear()
