"""An HTTP/1.1 connection that blocks only its own task."""

import socket
from typing import Final

from gevent.socket import create_connection
from urllib3.connection import HTTPConnection

from anvilthread.address import Address

#: Longest time to connect; the target is on the same VM.
_CONNECT_SECONDS: Final = 5


class GeventConnection(HTTPConnection):
    """Connects with a gevent socket, without patching the socket module.

    Args:
        target: Address of the target.
    """

    def __init__(self, *, target: Address) -> None:
        super().__init__(target.host, target.port, timeout=None)

    def connect(self) -> None:
        """Connects to the target.

        Raises:
            OSError: If the target does not accept the connection.
        """
        self.sock = create_connection(
            (self.host, self.port), timeout=_CONNECT_SECONDS
        )
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
