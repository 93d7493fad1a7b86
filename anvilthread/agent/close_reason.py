"""Reasons for which connections of the agent end."""

from typing import Final

from aioquic.h3.connection import ErrorCode
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.packet import QuicErrorCode

from anvilthread.reports.connection_events import CloseReason

#: Reason phrase that aioquic sets for a connection that timed out.
_IDLE_TIMEOUT_PHRASE: Final = 'Idle timeout'

_NO_ERROR: Final = frozenset((QuicErrorCode.NO_ERROR, ErrorCode.H3_NO_ERROR))


def close_reason(
    event: ConnectionTerminated, *, is_closing: bool
) -> CloseReason:
    """Returns the reason for which a connection ended.

    Args:
        event: The last event of the connection.
        is_closing: Whether the agent closed the connection.
    """
    if is_closing:
        return CloseReason.SERVER_CLOSED
    if event.reason_phrase == _IDLE_TIMEOUT_PHRASE:
        return CloseReason.CLIENT_GONE
    if event.error_code in _NO_ERROR:
        return CloseReason.CLIENT_CLOSED
    return CloseReason.PROTOCOL_ERROR
