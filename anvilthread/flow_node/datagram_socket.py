"""A UDP socket that passes each datagram to a handler."""

from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from anvilthread.telemetry.log import Log

#: Receive size in bytes; larger than any datagram of the protocols in use.
_MAX_DATAGRAM_BYTES: Final = 2048

#: Receive buffer in bytes; absorbs bursts while the process waits to be
#: scheduled on a processor.
_RECEIVE_BUFFER_BYTES: Final = 1 << 20

#: Datagrams handled before yielding to other tasks.
_BATCH_DATAGRAMS: Final = 64

DatagramHandler = Callable[[bytes, str], None]


class DatagramSocket:
    """Receives on one address and sends from it.

    Args:
        endpoint: Host and port to bind.
        log: Receives errors of the handler.
    """

    __slots__ = ('_log', '_send_socket', '_socket', '_unsent')

    def __init__(self, *, endpoint: tuple[str, int], log: Log) -> None:
        self._log = log
        self._unsent = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._socket.bind(endpoint)
        # A duplicate of the socket object, so that sending does not block while
        # receiving does.
        self._send_socket = self._socket.dup()
        self._send_socket.setblocking(False)

    @property
    def unsent(self) -> int:
        """Number of datagrams that the operating system did not accept."""
        return self._unsent

    def send(self, content: bytes, endpoint: tuple[str, int]) -> None:
        """Sends without blocking; a datagram that fails is lost and counted."""
        try:
            self._send_socket.sendto(content, endpoint)
        except OSError:
            self._unsent += 1

    def serve(self, handle: DatagramHandler) -> None:
        """Passes each datagram and its sender's host to a handler, forever."""
        while True:
            for _ in range(_BATCH_DATAGRAMS):
                try:
                    content, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
                except OSError:
                    # The error stems from an earlier send.
                    self._unsent += 1
                    continue
                self._handle(handle, content, sender[0])
            gevent.sleep(0)

    def _handle(
        self, handle: DatagramHandler, content: bytes, host: str
    ) -> None:
        try:
            handle(content, host)
        except Exception as error:  # noqa: BLE001
            # One bad datagram must not stop the loop.
            self._log.warning(
                'datagram_failed',
                sender=host,
                reason=repr(error),
                remedy='report this line to the maintainers',
            )
