"""UDP sockets of the data path."""

from collections.abc import Callable
from typing import Final

import gevent
from absl import logging
from gevent import socket

from anvilthread.address import Address

#: Socket buffer in bytes; the default drops bursts of a few hundred packets.
_SOCKET_BUFFER: Final = 4 * 1024 * 1024

_MAX_DATAGRAM: Final = 65535

_FAILURE_LOG_S: Final = 10

#: Packets handled before other tasks get a turn. Reading from a busy socket
#: never blocks, so the task has to yield by itself.
_BATCH: Final = 64


def bind_udp(address: Address) -> socket.socket:
    """Returns a gevent UDP socket with large buffers.

    Raises:
        OSError: If the address is in use or is not one of this machine.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER)
    bound.bind(address.endpoint)
    return bound


def receive_all(
    source: socket.socket,
    handle: Callable[[bytes, tuple[str, int]], None],
) -> None:
    """Passes every datagram and its sender on until the socket is closed.

    Raises:
        OSError: If the socket is closed.
    """
    while True:
        for _ in range(_BATCH):
            datagram, sender = source.recvfrom(_MAX_DATAGRAM)
            try:
                handle(datagram, sender)
            except Exception as error:
                # A packet that meets a fault must not end the service of all
                # others.
                _log_failure(error)
        gevent.sleep(0)


def _log_failure(error: Exception) -> None:
    logging.log_every_n_seconds(
        logging.ERROR,
        'event=packet_failed error="%r" remedy="report this fault"',
        _FAILURE_LOG_S,
        error,
    )
