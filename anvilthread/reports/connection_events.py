"""Recorded events of connections and packets."""

from enum import StrEnum

from anvilthread.reports.trace_event import TraceEvent


class CloseReason(StrEnum):
    """Why a connection ended."""

    CLIENT_CLOSED = 'client_closed'
    CLIENT_GONE = 'client_gone'
    SUPERSEDED = 'superseded'
    IDLE_TIMEOUT = 'idle_timeout'
    RESET = 'reset'
    SERVER_CLOSED = 'server_closed'
    PROTOCOL_ERROR = 'protocol_error'

    @property
    def is_broken(self) -> bool:
        """Whether a client lost a connection that it wanted to keep."""
        return self not in _ENDED_BY_CLIENT


_ENDED_BY_CLIENT = frozenset(
    (
        CloseReason.CLIENT_CLOSED,
        CloseReason.CLIENT_GONE,
        CloseReason.SUPERSEDED,
    )
)


class ConnectionOpened(TraceEvent, frozen=True, tag='connection_opened'):
    """A handshake has completed at an agent.

    Attributes:
        connection: Identifier of the connection in the trace.
        service: Service of the connection.
    """

    connection: str
    service: str


class ConnectionClosed(TraceEvent, frozen=True, tag='connection_closed'):
    """A connection has ended.

    Attributes:
        connection: Identifier of the connection in the trace.
        service: Service of the connection.
        reason: Why it ended.
    """

    connection: str
    service: str
    reason: CloseReason


class PacketMisrouted(TraceEvent, frozen=True, tag='packet_misrouted'):
    """A packet reached an agent of another service.

    Attributes:
        service: Service that the packet was for.
        reached: Service that received it.
    """

    service: str
    reached: str
