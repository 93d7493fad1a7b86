"""One request and its answer on one connection to the target."""

from collections.abc import Iterator
from enum import Enum, auto
from http.client import HTTPException
from typing import Final, Protocol

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from anvilthread.outcomes import (
    ClientGoneError,
    Outcome,
    Reason,
    Request,
    SingleAnswer,
)
from anvilthread.target.connection_pool import ConnectionPool
from anvilthread.target.forwarded_headers import (
    request_headers,
    response_headers,
)
from anvilthread.target.gevent_connection import GeventConnection

#: Header of a 503 by which a target states that it has not started the
#: request.
NOT_STARTED_HEADER: Final = 'anvilthread-not-started'

#: Maximum size of the part of a body that one exchange holds in memory.
READ_BYTES: Final = 65_536

_SERVICE_UNAVAILABLE: Final = 503
_MS_PER_SECOND: Final = 1000


class Stage(Enum):
    """Progress of an exchange; ``BEGUN`` and ``ENDED`` refer to the answer."""

    NOT_SENT = auto()
    SENT = auto()
    BEGUN = auto()
    ENDED = auto()


class ConnectedSocket(Protocol):
    """The methods of a socket that are needed to end an exchange."""

    def shutdown(self, how: int) -> None:
        """Closes one or both directions."""

    def recv(self, size: int) -> bytes:
        """Blocks for data; empty when the target has closed."""

    def close(self) -> None:
        """Releases the descriptor."""


class Exchange:
    """Sends one request once and forwards its answer.

    Args:
        connections: Connections to the target.
        request: The request to send.
        answer: Receiver of the answer.
    """

    def __init__(
        self,
        *,
        connections: ConnectionPool,
        request: Request,
        answer: SingleAnswer,
    ) -> None:
        self._connections = connections
        self._request = request
        self._answer = answer
        self._stage = Stage.NOT_SENT
        self._socket: ConnectedSocket | None = None

    @property
    def stage(self) -> Stage:
        """Progress of the exchange."""
        return self._stage

    @property
    def socket(self) -> ConnectedSocket | None:
        """A second descriptor of the connection, once it is open.

        It stays valid when the HTTP library closes its own descriptor.
        """
        return self._socket

    def run(self, left_ms: int) -> Outcome:
        """Performs the exchange; runs in a separate greenlet.

        Args:
            left_ms: Remaining time to the deadline.

        Returns:
            The outcome; *not run* only if the target certainly has not started
            the request.
        """
        try:
            connection = self._connect()
        except OSError as error:
            return _unavailable(error)
        # From here on, any part of the request may have reached the target.
        self._stage = Stage.SENT
        try:
            return self._exchange(connection, left_ms)
        except (HTTPError, HTTPException, OSError) as error:
            return _lost(error)
        except ClientGoneError:
            return client_gone()

    def _connect(self) -> GeventConnection:
        # The target may close an idle connection at any moment. Whether it has
        # read a request on that connection is then unknown.
        connection = None
        if self._request.idempotent:
            connection = self._connections.take_idle()
        if connection is None:
            connection = self._connections.create()
            connection.connect()
        self._socket = connection.sock.dup()
        return connection

    def _exchange(self, connection: GeventConnection, left_ms: int) -> Outcome:
        connection.request(
            self._request.method,
            self._request.path,
            body=self._body(),
            headers=request_headers(self._request, left_ms),
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        if _refused(response):
            response.drain_conn()
            self._stage = Stage.ENDED
            connection.close()
            return _not_started(response)
        self._forward_answer(response)
        self._connections.put(connection)
        return Outcome.answered()

    def _body(self) -> Iterator[bytes] | None:
        if self._request.body.length == 0:
            return None
        return iter(lambda: self._request.body.read(READ_BYTES), b'')

    def _forward_answer(self, response: BaseHTTPResponse) -> None:
        self._stage = Stage.BEGUN
        headers = response_headers(response.headers)
        self._answer.head(response.status, headers)
        for part in _parts(response):
            self._answer.chunk(part)
        if not _delimited(response):
            raise HTTPException('the answer has neither length nor chunks')
        self._stage = Stage.ENDED
        self._answer.end()


def client_gone() -> Outcome:
    """The client disconnected or cancelled while the request ran."""
    return Outcome.unknown(
        Reason.CANCELLED, 'the client cancelled the request while it ran'
    )


def _parts(response: BaseHTTPResponse) -> Iterator[bytes]:
    if getattr(response, 'chunked', False):
        yield from response.stream(READ_BYTES, decode_content=False)
        return
    part = response.read1(READ_BYTES, decode_content=False)
    while part:
        yield part
        part = response.read1(READ_BYTES, decode_content=False)


def _delimited(response: BaseHTTPResponse) -> bool:
    # A body that ends with the connection cannot be told from a truncated one.
    chunked = getattr(response, 'chunked', False)
    return chunked or getattr(response, 'length_remaining', None) == 0


def _refused(response: BaseHTTPResponse) -> bool:
    if response.status != _SERVICE_UNAVAILABLE:
        return False
    return response.headers.get(NOT_STARTED_HEADER) == '1'


def _not_started(response: BaseHTTPResponse) -> Outcome:
    seconds = response.headers.get('retry-after', '1')
    is_valid = seconds.isascii() and seconds.isdecimal()
    return Outcome.not_run(
        Reason.TARGET_REFUSED,
        'the target has refused the request before it started',
        int(seconds) * _MS_PER_SECOND if is_valid else _MS_PER_SECOND,
    )


def _unavailable(error: OSError) -> Outcome:
    return Outcome.not_run(
        Reason.TARGET_UNAVAILABLE,
        f'the target does not take connections ({error.strerror or error})',
        _MS_PER_SECOND,
    )


def _lost(error: Exception) -> Outcome:
    return Outcome.unknown(
        Reason.ANSWER_LOST,
        'the connection to the target broke after the request was sent '
        f'({type(error).__name__})',
    )
