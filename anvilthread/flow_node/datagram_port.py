"""A UDP port that hands each datagram to a function."""

from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from anvilthread.telemetry.log import Log

#: Larger than any datagram of the protocols spoken here.
_READ_BYTES: Final = 2048

#: Receive buffer in bytes, for bursts while the process waits for its turn
#: of the processor.
_BUFFER_BYTES: Final = 1 << 20

#: Datagrams handled before other tasks get a turn.
_BATCH: Final = 64

DatagramHandler = Callable[[bytes, str], None]


class DatagramPort:
    """Receives on one address and sends from it.

    Args:
        endpoint: Host and port to bind.
        log: Receives faults of the handler.
    """

    __slots__ = ('_log', '_sending', '_socket', '_unsent')

    def __init__(self, *, endpoint: tuple[str, int], log: Log) -> None:
        self._log = log
        self._unsent = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES
        )
        self._socket.bind(endpoint)
        # A second object for the same socket: only sending must not block.
        self._sending = self._socket.dup()
        self._sending.setblocking(False)

    @property
    def unsent(self) -> int:
        """Datagrams that the system did not take."""
        return self._unsent

    def send(self, content: bytes, endpoint: tuple[str, int]) -> None:
        """Sends without blocking; what cannot be sent is lost and counted."""
        try:
            self._sending.sendto(content, endpoint)
        except OSError:
            self._unsent += 1

    def serve(self, handle: DatagramHandler) -> None:
        """Hands every datagram and the host of its sender on, forever."""
        while True:
            for _ in range(_BATCH):
                try:
                    content, sender = self._socket.recvfrom(_READ_BYTES)
                except OSError:
                    # An error here belongs to an earlier send.
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
            # One bad datagram must not stop the port.
            self._log.warning(
                'datagram_failed',
                sender=host,
                reason=repr(error),
                remedy='report this line to the maintainers',
            )
