"""One HTTP/3 request and its answer on a client's connection."""

from collections.abc import Callable, Sequence
from typing import Final

from aioquic.h3.connection import ErrorCode, H3Connection
from gevent.event import Event

from anvilthread.agent.body import Body
from anvilthread.agent.routable_quic import RoutableQuic
from anvilthread.outcomes import ClientGoneError

#: Unacknowledged bytes of one answer at which its writer waits. It bounds the
#: memory of a stream whose client reads slowly.
MAX_BUFFERED_SIZE: Final = 256 * 1024

Headers = Sequence[tuple[bytes, bytes]]


class H3Stream:
    """Lets a request task answer through the connection's task.

    Args:
        stream_id: QUIC stream of the request.
        headers: Request headers, pseudo-headers included.
        quic: The QUIC connection.
        http: The HTTP/3 connection.
        wake: Tells the connection task that there is something to send.
    """

    __slots__ = (
        '_cancelled',
        '_http',
        '_quic',
        '_room',
        '_wake',
        'body',
        'headers',
        'stream_id',
    )

    def __init__(
        self,
        *,
        stream_id: int,
        headers: Headers,
        quic: RoutableQuic,
        http: H3Connection,
        wake: Callable[[], None],
    ) -> None:
        self.stream_id = stream_id
        self.headers = headers
        self.body = Body()
        self._quic = quic
        self._http = http
        self._wake = wake
        self._cancelled = Event()
        self._room = Event()
        self._room.set()

    @property
    def cancelled(self) -> Event:
        """Set when the client has cancelled or its connection has ended."""
        return self._cancelled

    def head(self, headers: Headers) -> None:
        """Sends the response headers.

        Raises:
            ClientGoneError: If the client no longer waits for the answer.
        """
        self._check_client()
        self._http.send_headers(self.stream_id, list(headers))
        self._wake()

    def chunk(self, content: bytes) -> None:
        """Sends a part of the body; blocks while the client reads slowly.

        Raises:
            ClientGoneError: If the client no longer waits for the answer.
        """
        self._room.wait()
        self._check_client()
        self._http.send_data(self.stream_id, content, end_stream=False)
        if self._quic.buffered_bytes(self.stream_id) >= MAX_BUFFERED_SIZE:
            self._room.clear()
        self._wake()

    def end(self) -> None:
        """Ends the response.

        Raises:
            ClientGoneError: If the client no longer waits for the answer.
        """
        self._check_client()
        self._http.send_data(self.stream_id, b'', end_stream=True)
        self._wake()

    def reset(self) -> None:
        """Ends an answer that has begun and cannot be completed."""
        if not self._cancelled.is_set():
            self._quic.reset_stream(self.stream_id, ErrorCode.H3_INTERNAL_ERROR)
            self._cancelled.set()
            self._wake()

    def cancel(self) -> None:
        """Notes that the client no longer waits for the answer."""
        self._cancelled.set()
        self._room.set()
        self.body.end()

    def update_room(self) -> None:
        """Lets the writer go on when the client has acknowledged enough."""
        if self._room.is_set():
            return
        if self._quic.buffered_bytes(self.stream_id) < MAX_BUFFERED_SIZE // 2:
            self._room.set()

    def _check_client(self) -> None:
        if self._cancelled.is_set():
            raise ClientGoneError(
                reason=f'the client has cancelled stream {self.stream_id}',
                remedy='stop producing the answer',
            )
