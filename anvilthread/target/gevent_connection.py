"""An HTTP/1.1 connection that blocks only its own greenlet."""

from typing import Final

from gevent import socket
from urllib3.connection import HTTPConnection

from anvilthread.address import Address

#: Timeout for connecting; the target is on the same VM.
_CONNECT_TIMEOUT_S: Final = 5


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
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connected.settimeout(_CONNECT_TIMEOUT_S)
        try:
            connected.connect((self.host, self.port))
        except BaseException:
            connected.close()
            raise
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = connected
