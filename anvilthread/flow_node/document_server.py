"""Transfer of the configuration between nodes."""

import struct
from typing import Final

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer
from result import Err, Ok, Result

from anvilthread.decoding import DECODE_ERRORS
from anvilthread.error import AnvilthreadError
from anvilthread.flow_node.transferred_document import TransferredDocument
from anvilthread.flows.route_holder import RouteHolder

#: Time limit of a whole transfer. A configuration of 100 kB takes 0.2 s over
#: the slowest current link, 5 Mbit/s.
_TRANSFER_TIMEOUT_S: Final = 1.5

#: Precedes the content: its length in bytes.
_LENGTH_PREFIX: Final = struct.Struct('!I')

#: Largest content that is read: the largest value that the store holds, and
#: as much again for evacuated sites, which the store returns in one page.
_MAX_CONTENT_BYTES: Final = 2 * 1_048_576

#: Errors of the connection, and of content that cannot be decoded.
_TRANSFER_ERRORS: Final = (
    OSError,
    EOFError,
    gevent.Timeout,
    *DECODE_ERRORS,
)

_decoder = msgspec.msgpack.Decoder(TransferredDocument)


class TransferError(AnvilthreadError):
    """The transfer of the configuration from a peer failed."""


class DocumentServer:
    """Sends configuration and evacuated sites to every node that connects.

    Args:
        endpoint: Host and TCP port to bind.
        routes: Holds the configuration and the evacuated sites in force.
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
        evacuations = self._routes.evacuations
        content = msgspec.msgpack.encode(
            TransferredDocument(
                document=self._routes.table.document,
                evacuation=evacuations.view,
                evacuation_age_ms=evacuations.age_ms,
            )
        )
        connection.settimeout(_TRANSFER_TIMEOUT_S)
        try:
            connection.sendall(_LENGTH_PREFIX.pack(len(content)) + content)
        except OSError:
            # The reader has disconnected or is too slow; it asks another node.
            connection.close()


def fetch_document(
    host: str, port: int
) -> Result[TransferredDocument, TransferError]:
    """Fetches the configuration and evacuated sites in force at another node.

    Args:
        host: Host of the node.
        port: Its TCP port for documents.

    Returns:
        The configuration as the store holds it, and the evacuated sites.
    """
    try:
        with gevent.Timeout(_TRANSFER_TIMEOUT_S):
            return Ok(_read_document(host, port))
    except _TRANSFER_ERRORS as error:
        return Err(
            TransferError(
                reason=f'transfer from {host} failed, {error!r}',
                remedy='none needed; another node or the store is asked',
            )
        )


def _read_document(host: str, port: int) -> TransferredDocument:
    connection = socket.create_connection(
        (host, port), timeout=_TRANSFER_TIMEOUT_S
    )
    with connection, connection.makefile('rb') as stream:
        head = stream.read(_LENGTH_PREFIX.size)
        if len(head) < _LENGTH_PREFIX.size:
            raise EOFError('connection closed before the length')
        size = min(_LENGTH_PREFIX.unpack(head)[0], _MAX_CONTENT_BYTES)
        content = stream.read(size)
    if len(content) < size:
        raise EOFError('connection closed within the content')
    transferred = _decoder.decode(content)
    if not transferred.document:
        raise EOFError('no configuration is in force there')
    return transferred
