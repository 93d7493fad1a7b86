"""Key rotation of transports that are in use."""

import gevent
import pytest

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.transport import (
    CurveKeyPair,
    Transport,
    UdpTransport,
    ZmqTransport,
)

_LOCAL = Address(host='127.0.0.1', port=0)
_DELIVERY_TIMEOUT_S = 10
_OLD, _NEW = CurveKeyPair.generate(), CurveKeyPair.generate()
_OLD_TAG, _NEW_TAG = b'o' * 32, b'n' * 32


def _deliver(sender: Transport, receiver: Transport, payload: bytes) -> bytes:
    # Messages around a change of keys may be lost, as any message may be,
    # so the message is sent until it arrives.
    with gevent.Timeout(_DELIVERY_TIMEOUT_S):
        while True:
            sender.send(receiver.address, payload)
            task = gevent.spawn(receiver.receive)
            task.join(timeout=0.3)
            if task.ready():
                return bytes(task.value.payload)
            task.kill()


@pytest.mark.parametrize('first_to_change', [0, 1])
def test_curve_keys_rotate_step_by_step(first_to_change: int) -> None:
    """Guards against a rotation step that breaks communication.

    In each step, one node has the old key order and the other the new one.
    """
    clock = SystemClock()
    pair = [
        ZmqTransport(address=_LOCAL, keys=(_OLD,), clock=clock)
        for _ in range(2)
    ]
    try:
        for keys in ((_OLD, _NEW), (_NEW, _OLD), (_NEW,)):
            for index in (first_to_change, 1 - first_to_change):
                pair[index].use_keys(keys)
                assert _deliver(pair[0], pair[1], b'there') == b'there'
                assert _deliver(pair[1], pair[0], b'back') == b'back'
    finally:
        for transport in pair:
            transport.close()


@pytest.mark.parametrize('first_to_change', [0, 1])
def test_datagram_keys_rotate_step_by_step(first_to_change: int) -> None:
    """Guards against a rotation step that breaks communication.

    In each step, one node has the old key order and the other the new one.
    """
    pair = [UdpTransport(address=_LOCAL, keys=(_OLD_TAG,)) for _ in range(2)]
    for keys in ((_OLD_TAG, _NEW_TAG), (_NEW_TAG, _OLD_TAG), (_NEW_TAG,)):
        for index in (first_to_change, 1 - first_to_change):
            pair[index].use_keys(keys)
            assert _deliver(pair[0], pair[1], b'there') == b'there'
            assert _deliver(pair[1], pair[0], b'back') == b'back'
    for transport in pair:
        transport.close()
