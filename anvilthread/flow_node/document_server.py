"""Transfer of the configuration between nodes."""

import struct
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer
from result import Err, Ok, Result

from anvilthread.error import AnvilthreadError
from anvilthread.flows.route_holder import RouteHolder

#: Time limit of a whole transfer. A configuration of 100 kB takes 0.2 s over
#: the slowest current link, 5 Mbit/s.
_TRANSFER_TIMEOUT_S: Final = 1.5

#: Precedes the document: its length in bytes.
_LENGTH_PREFIX: Final = struct.Struct('!I')

#: Largest document that is read: the largest value that the store holds.
_MAX_DOCUMENT_BYTES: Final = 1_048_576


class TransferError(AnvilthreadError):
    """The transfer of the configuration from a peer failed."""


class DocumentServer:
    """Sends the configuration in force to every node that connects.

    Args:
        endpoint: Host and TCP port to bind.
        routes: Holds the configuration in force.
    """

    __slots__ = ('_routes', '_server')

    def __init__(
        self, *, endpoint: tuple[str, int], routes: RouteHolder
    ) -> None:
        self._routes = routes
        self._server = StreamServer(endpoint, self._send_document)

    def start(self) -> None:
        """Starts listening."""
        self._server.start()

    def _send_document(
        self, connection: socket.socket, _address: tuple[str, int]
    ) -> None:
        document = self._routes.table.document
        connection.settimeout(_TRANSFER_TIMEOUT_S)
        try:
            connection.sendall(_LENGTH_PREFIX.pack(len(document)) + document)
        except OSError:
            # The reader has disconnected or is too slow; it asks another node.
            connection.close()


def fetch_document(host: str, port: int) -> Result[bytes, TransferError]:
    """Fetches the configuration in force at another node.

    Args:
        host: Host of the node.
        port: Its TCP port for documents.

    Returns:
        The document as the store holds it.
    """
    try:
        with gevent.Timeout(_TRANSFER_TIMEOUT_S):
            return Ok(_read_document(host, port))
    except (OSError, EOFError, gevent.Timeout) as error:
        return Err(
            TransferError(
                reason=f'transfer from {host} failed, {error!r}',
                remedy='none needed; another node or the store is asked',
            )
        )


def _read_document(host: str, port: int) -> bytes:
    connection = socket.create_connection(
        (host, port), timeout=_TRANSFER_TIMEOUT_S
    )
    with connection, connection.makefile('rb') as stream:
        head = stream.read(_LENGTH_PREFIX.size)
        if len(head) < _LENGTH_PREFIX.size:
            raise EOFError('connection closed before the length')
        size = min(_LENGTH_PREFIX.unpack(head)[0], _MAX_DOCUMENT_BYTES)
        document = stream.read(size)
        if len(document) < size or not document:
            raise EOFError('connection closed within the document')
        return bytes(document)
