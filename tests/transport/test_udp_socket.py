"""Receive loop of the data path."""

import gevent
import pytest

from anvilthread.address import Address
from anvilthread.transport.udp_socket import bind_udp, receive_all


def test_fault_on_one_packet_does_not_end_the_loop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a packet of one client that stops a whole balancer."""
    source = bind_udp(Address(host='127.0.0.1', port=0))
    handled: list[bytes] = []

    def handle(datagram: bytes, sender: tuple[str, int]) -> None:
        if datagram == b'bad':
            raise ValueError(datagram)
        handled.append(datagram)

    task = gevent.spawn(receive_all, source, handle)
    sender = bind_udp(Address(host='127.0.0.1', port=0))
    for datagram in (b'first', b'bad', b'last'):
        sender.sendto(datagram, source.getsockname())
    for _ in range(100):
        if len(handled) == 2:
            break
        gevent.sleep(0.02)
    running = not task.ready()
    task.kill()
    assert running
    assert handled == [b'first', b'last']
    assert 'event=packet_failed' in caplog.text
