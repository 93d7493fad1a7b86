"""Authentication and size limits of UDP messages, on loopback."""

import gevent
import pytest
from gevent import socket

from anvilthread.address import Address
from anvilthread.transport import DatagramKeyError, Received, UdpTransport

_LOCAL = Address(host='127.0.0.1', port=0)
_OLD, _NEW, _OTHER = b'o' * 16, b'n' * 64, b'x' * 16


def _receive(transport: UdpTransport, timeout_s: float) -> Received | None:
    with gevent.Timeout(timeout_s, exception=False):
        return transport.receive()
    return None


@pytest.mark.parametrize(
    ('sender_keys', 'receiver_keys', 'accepted'),
    [
        ((_OLD,), (_OLD,), True),
        ((_OLD,), (_OLD, _NEW), True),
        ((_NEW, _OLD), (_OLD, _NEW), True),
        ((_NEW,), (_NEW, _OLD), True),
        ((_NEW,), (_OLD,), False),
        ((_OTHER,), (_OLD, _NEW), False),
    ],
)
def test_only_accepted_keys_pass(
    sender_keys: tuple[bytes, ...],
    receiver_keys: tuple[bytes, ...],
    accepted: bool,
) -> None:
    """Guards against forged messages and loss during a key rotation."""
    sender = UdpTransport(address=_LOCAL, keys=sender_keys)
    receiver = UdpTransport(address=_LOCAL, keys=receiver_keys)
    sender.send(receiver.address, b'payload')
    received = _receive(receiver, 5 if accepted else 0.1)
    sender.close()
    receiver.close()
    assert (received is not None) == accepted
    assert receiver.forged == (not accepted)
    if received is not None:
        assert received.payload == b'payload'
        assert received.sender == sender.address


@pytest.mark.parametrize(
    ('datagram', 'counter'),
    [
        (b'', 'malformed'),
        (b'12345678', 'malformed'),
        (b'123456789', 'forged'),
        (bytes(1200), 'forged'),
        (bytes(1201), 'malformed'),
    ],
)
def test_invalid_datagrams_are_counted(datagram: bytes, counter: str) -> None:
    """Guards against an invalid datagram that ends the receiving task."""
    receiver = UdpTransport(address=_LOCAL, keys=(_OLD,))
    sender = UdpTransport(address=_LOCAL, keys=(_OLD,))
    raw_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    raw_socket.sendto(datagram, receiver.address.endpoint)
    sender.send(receiver.address, b'good')
    received = _receive(receiver, 5)
    for resource in (raw_socket, sender, receiver):
        resource.close()
    assert received is not None
    assert received.payload == b'good'
    assert getattr(receiver, counter) == 1


def test_too_long_messages_are_counted_as_unsent() -> None:
    """Guards against datagrams that the path would fragment."""
    transport = UdpTransport(address=_LOCAL, keys=(_OLD,))
    transport.send(transport.address, bytes(1193))
    transport.close()
    assert transport.unsent == 1


@pytest.mark.parametrize('keys', [(), (b'short',), (_OLD, b'y' * 65)])
def test_unusable_keys_are_refused(keys: tuple[bytes, ...]) -> None:
    """Guards against a cluster that runs with a weak or no key."""
    with pytest.raises(DatagramKeyError, match='16 to 64 bytes'):
        UdpTransport(address=_LOCAL, keys=keys)
