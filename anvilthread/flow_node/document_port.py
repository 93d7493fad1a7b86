"""Transfer of the configuration between nodes."""

import struct
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer
from result import Err, Ok, Result

from anvilthread.error import AnvilthreadError
from anvilthread.flows.route_holder import RouteHolder

#: Time for a whole transfer. A configuration of 100 kB takes 0.2 s over the
#: thinnest link of today, 5 Mbit/s.
_TRANSFER_S: Final = 1.5

#: Length of the document in bytes, before the document.
_LENGTH: Final = struct.Struct('!I')

#: Largest value that the store holds.
_MAX_BYTES: Final = 1_048_576


class TransferError(AnvilthreadError):
    """A peer did not send its configuration."""


class DocumentPort:
    """Sends the configuration in force to every node that connects.

    Args:
        endpoint: Host and TCP port to bind.
        routes: Holder of the configuration.
    """

    __slots__ = ('_routes', '_server')

    def __init__(
        self, *, endpoint: tuple[str, int], routes: RouteHolder
    ) -> None:
        self._routes = routes
        self._server = StreamServer(endpoint, self._serve)

    def start(self) -> None:
        """Starts to listen."""
        self._server.start()

    def _serve(
        self, connection: socket.socket, _address: tuple[str, int]
    ) -> None:
        document = self._routes.table.document
        connection.settimeout(_TRANSFER_S)
        try:
            connection.sendall(_LENGTH.pack(len(document)) + document)
        except OSError:
            # The reader has gone or is too slow; it asks another node.
            connection.close()


def fetch_document(host: str, port: int) -> Result[bytes, TransferError]:
    """Reads the configuration that a node holds.

    Args:
        host: Host of the node.
        port: Its TCP port for documents.

    Returns:
        The document as the store holds it.
    """
    try:
        with gevent.Timeout(_TRANSFER_S):
            return Ok(_read(host, port))
    except (OSError, EOFError, gevent.Timeout) as error:
        return Err(
            TransferError(
                reason=f'transfer from {host} failed, {error!r}',
                remedy='none needed; another node or the store is asked',
            )
        )


def _read(host: str, port: int) -> bytes:
    connection = socket.create_connection((host, port), timeout=_TRANSFER_S)
    with connection, connection.makefile('rb') as stream:
        head = stream.read(_LENGTH.size)
        if len(head) < _LENGTH.size:
            raise EOFError('connection closed before the length')
        size = min(_LENGTH.unpack(head)[0], _MAX_BYTES)
        document = stream.read(size)
        if len(document) < size or not document:
            raise EOFError('connection closed within the document')
        return bytes(document)
