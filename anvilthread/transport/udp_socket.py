"""UDP sockets of the data path."""

from collections.abc import Callable
from typing import Final

import gevent
from absl import logging
from gevent import socket

from anvilthread.address import Address

#: Size of a socket buffer; the default size drops bursts of a few hundred
#: packets.
_SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024

_MAX_DATAGRAM_BYTES: Final = 65535

_FAILURE_LOG_PERIOD_S: Final = 10

#: Packets handled before the task yields to other tasks. Reading from a busy
#: socket never blocks, so the task has to yield explicitly.
_BATCH_PACKETS: Final = 64


def bind_udp(address: Address) -> socket.socket:
    """Returns a gevent UDP socket with large buffers.

    Raises:
        OSError: If the address is in use or not an address of this VM.
    """
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES
    )
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES
    )
    udp_socket.bind(address.endpoint)
    return udp_socket


def receive_all(
    source: socket.socket,
    handle: Callable[[bytes, tuple[str, int]], None],
) -> None:
    """Calls a handler for every datagram until the socket is closed.

    Raises:
        OSError: If the socket is closed.
    """
    while True:
        for _ in range(_BATCH_PACKETS):
            datagram, sender = source.recvfrom(_MAX_DATAGRAM_BYTES)
            try:
                handle(datagram, sender)
            except Exception as error:
                # A packet that triggers a fault must not stop the handling of
                # all others.
                _log_failure(error)
        gevent.sleep(0)


def _log_failure(error: Exception) -> None:
    logging.log_every_n_seconds(
        logging.ERROR,
        'event=packet_failed error="%r" remedy="report this fault"',
        _FAILURE_LOG_PERIOD_S,
        error,
    )
