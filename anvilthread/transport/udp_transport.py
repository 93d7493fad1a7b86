"""Authenticated messages between nodes over UDP."""

from contextlib import suppress
from typing import Final, NoReturn

from absl import logging
from gevent import socket
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.transport.datagram_authenticator import (
    TAG_SIZE,
    DatagramAuthenticator,
)
from anvilthread.transport.received import Received
from anvilthread.transport.transport import MAX_DATAGRAM_BYTES

_PURPOSE: Final = b'anvilthread-udp'

#: Minimum time between two logged refusals; any host can send forged
#: datagrams.
_REFUSAL_LOG_PERIOD_S: Final = 10

#: One byte more than the largest accepted datagram, so that longer ones are
#: detected.
_READ_BYTES: Final = MAX_DATAGRAM_BYTES + 1


class UdpTransport:
    """Exchanges messages with nodes that hold the keys of the cluster.

    Each datagram carries a keyed BLAKE2b tag. The tag does not cover the
    sender's address and does not prevent replay; the messages carry numbers
    that make a replayed one harmless.

    Args:
        address: Local address; port 0 selects a free port.
        keys: The current key first, each 16 to 64 bytes. To rotate, add the
            new key as the last one everywhere, then move it to the front
            everywhere, then remove the old one.

    Raises:
        DatagramKeyError: If there is no key or a key has a wrong length.
        OSError: If the address cannot be bound.
    """

    __slots__ = (
        '_address',
        '_authenticator',
        '_forged',
        '_is_closed',
        '_malformed',
        '_send_socket',
        '_socket',
        '_unsent',
    )

    def __init__(self, *, address: Address, keys: tuple[bytes, ...]) -> None:
        self._authenticator = DatagramAuthenticator(keys=keys, purpose=_PURPOSE)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address.endpoint)
        # A duplicate of the socket, as only sending must be non-blocking.
        self._send_socket = self._socket.dup()
        self._send_socket.setblocking(False)
        host, port = self._socket.getsockname()
        self._address = Address(host=host, port=port)
        self._is_closed = False
        self._forged = 0
        self._malformed = 0
        self._unsent = 0

    @property
    def address(self) -> Address:
        """Address at which this node receives."""
        return self._address

    @property
    def forged(self) -> int:
        """Number of datagrams dropped because their tag was invalid."""
        return self._forged

    @property
    def malformed(self) -> int:
        """Number of datagrams dropped as too short or too long."""
        return self._malformed

    @property
    def unsent(self) -> int:
        """Number of messages that were too long or that the system refused."""
        return self._unsent

    def use_keys(self, keys: tuple[bytes, ...]) -> None:
        """Replaces the keys, the current one first.

        Raises:
            DatagramKeyError: If there is no key or a key has a wrong length.
        """
        self._authenticator = DatagramAuthenticator(keys=keys, purpose=_PURPOSE)

    def send(self, address: Address, payload: bytes) -> None:
        """Sends without blocking; a message that cannot be sent is lost."""
        datagram = self._authenticator.seal(payload)
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._unsent += 1
            return
        try:
            self._send_socket.sendto(datagram, address.endpoint)
        except OSError:
            self._unsent += 1

    def receive(self) -> Received:
        """Blocks the calling task until an authentic message arrives."""
        while True:
            datagram, endpoint = self._receive_datagram()
            host, port = endpoint
            sender = Address(host=host, port=port)
            payload = self._authenticate(datagram, sender)
            if payload is not None:
                return Received(sender=sender, payload=payload)

    def close(self) -> None:
        """Closes the socket; tasks blocked in receive do not resume."""
        self._is_closed = True
        self._send_socket.close()
        self._socket.close()

    def _receive_datagram(self) -> tuple[bytes, tuple[str, int]]:
        while not self._is_closed:
            # An error here is due to an earlier send or to the close.
            with suppress(OSError):
                return self._socket.recvfrom(_READ_BYTES)
        _never_resume()

    def _authenticate(self, datagram: bytes, sender: Address) -> bytes | None:
        if not TAG_SIZE < len(datagram) <= MAX_DATAGRAM_BYTES:
            self._malformed += 1
            return None
        payload = self._authenticator.open(datagram)
        if payload is None:
            self._forged += 1
            logging.log_every_n_seconds(
                logging.WARNING,
                'event=datagram_refused sender=%s '
                'reason="the tag matches no accepted datagram key" '
                'remedy="give the sender the key file of the cluster and '
                'send it SIGHUP"',
                _REFUSAL_LOG_PERIOD_S,
                sender,
            )
        return payload


def _never_resume() -> NoReturn:
    while True:
        Event().wait()
