"""Idle connections to one target."""

from typing import Final

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.target.gevent_connection import GeventConnection

#: Common servers close an idle connection after 5 s.
_IDLE_TIMEOUT_MS: Final = 4000


class ConnectionPool:
    """Pools connections that have completed an exchange.

    Args:
        clock: Clock of the idle time.
        target: Address of the target.
        limit: Maximum number of idle connections.
    """

    __slots__ = ('_clock', '_idle', '_limit', '_target')

    def __init__(self, *, clock: Clock, target: Address, limit: int) -> None:
        self._clock = clock
        self._target = target
        self._limit = limit
        self._idle: list[tuple[int, GeventConnection]] = []

    def create(self) -> GeventConnection:
        """Returns a new connection that has not been opened."""
        return GeventConnection(target=self._target)

    def take_idle(self) -> GeventConnection | None:
        """Returns an idle connection that the target has not closed."""
        oldest_ms = self._clock.now_ms() - _IDLE_TIMEOUT_MS
        while self._idle:
            idle_since_ms, connection = self._idle.pop()
            if idle_since_ms > oldest_ms and connection.is_connected:
                return connection
            connection.close()
        return None

    def put(self, connection: GeventConnection) -> None:
        """Returns a connection whose exchange is complete to the pool."""
        if connection.is_closed:
            return
        if len(self._idle) >= self._limit:
            connection.close()
            return
        self._idle.append((self._clock.now_ms(), connection))

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()
