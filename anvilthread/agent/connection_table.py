"""The connections of an agent by connection ID."""

from typing import Final

from anvilthread.address import Address
from anvilthread.agent.client_connection import ClientConnection

#: A handshake that takes longer is probably abandoned.
_HANDSHAKE_MS: Final = 1000


class ConnectionTable:
    """Finds connections by the IDs that either side chose.

    Until a client has seen one of our connection IDs, its packets carry the
    one that it chose itself, which is unique only together with its address.
    """

    __slots__ = ('_by_client', '_by_id', '_connections', '_opening')

    def __init__(self) -> None:
        self._connections: dict[ClientConnection, ConnectionIds] = {}
        self._by_id: dict[bytes, ConnectionIds] = {}
        self._by_client: dict[tuple[Address, bytes], ClientConnection] = {}
        #: Connections whose handshake was incomplete when last looked at.
        self._opening: set[ClientConnection] = set()

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def half_open(self) -> int:
        """Number of connections whose handshake is not complete."""
        return len(self._unestablished())

    def count_active(self, now_ms: int) -> int:
        """Number of connections without those that clients have abandoned.

        A client whose first packets reached two agents adopts one of them;
        at the other, the handshake stays incomplete until it times out.

        Args:
            now_ms: Monotonic time.
        """
        abandoned = sum(
            now_ms - entry.opened_ms >= _HANDSHAKE_MS
            for entry in self._unestablished()
        )
        return len(self._connections) - abandoned

    def connections(self) -> list[ClientConnection]:
        """Returns every connection."""
        return list(self._connections)

    def find(self, connection_id: bytes) -> ClientConnection | None:
        """Returns the connection to which we issued this ID."""
        ids = self._by_id.get(connection_id)
        return None if ids is None else ids.connection

    def find_initial(
        self, client: Address, chosen_id: bytes
    ) -> ClientConnection | None:
        """Returns the connection that a client opened with its own ID."""
        return self._by_client.get((client, chosen_id))

    def reserve(self, client: Address, chosen_id: bytes) -> 'ConnectionIds':
        """Returns the IDs of a connection that is about to be opened."""
        return ConnectionIds(
            by_id=self._by_id, client=client, chosen_id=chosen_id
        )

    def add(self, connection: ClientConnection, ids: 'ConnectionIds') -> None:
        """Adds a connection under the IDs reserved for it."""
        ids.connection = connection
        self._connections[connection] = ids
        self._opening.add(connection)
        self._by_client[ids.client_key] = connection

    def remove(self, connection: ClientConnection) -> None:
        """Removes a connection under all its IDs."""
        ids = self._connections.pop(connection)
        self._opening.discard(connection)
        self._by_client.pop(ids.client_key, None)
        ids.clear()

    def _unestablished(self) -> set[ClientConnection]:
        # Only these are looked at for each first packet: an agent holds
        # thousands of established connections and few others.
        self._opening = {
            entry for entry in self._opening if not entry.is_established
        }
        return self._opening


class ConnectionIds:
    """The IDs of one connection.

    Args:
        by_id: Index of all connections of the agent, kept up to date here.
        client: Address from which the client opened the connection.
        chosen_id: Connection ID that the client chose.
    """

    __slots__ = ('_by_id', '_issued', 'client_key', 'connection')

    def __init__(
        self,
        *,
        by_id: 'dict[bytes, ConnectionIds]',
        client: Address,
        chosen_id: bytes,
    ) -> None:
        self._by_id = by_id
        self._issued: set[bytes] = set()
        self.client_key = (client, chosen_id)
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
