"""ZeroMQ transport: delivery, keys, limits and idle connections."""

from collections.abc import Callable, Iterator

import gevent
import pytest
from absl import logging
from zmq import green as zmq

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.transport import (
    MAX_MESSAGE_SIZE,
    CurveKeyError,
    CurveKeyPair,
    TransportBindError,
    ZmqTransport,
)

_LOCAL = Address(host='127.0.0.1', port=0)
_OLD = CurveKeyPair.generate()
_NEW = CurveKeyPair.generate()

TransportOpener = Callable[..., ZmqTransport]


@pytest.fixture
def open_transport() -> Iterator[TransportOpener]:
    """Opens transports and closes them after the test."""
    transports: list[ZmqTransport] = []

    def open_with_keys(*keys: CurveKeyPair, **limits: int) -> ZmqTransport:
        transport = ZmqTransport(
            address=_LOCAL, keys=keys, clock=SystemClock(), **limits
        )
        transports.append(transport)
        return transport

    yield open_with_keys
    for transport in transports:
        transport.close()


def _wait_until(condition: Callable[[], bool]) -> None:
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.01)


def _receive(transport: ZmqTransport, sender: ZmqTransport) -> bytes:
    # A message that is queued while a wrong key is tried is lost, so the
    # message is sent until it arrives.
    with gevent.Timeout(10):
        reader = gevent.spawn(transport.receive)
        while not reader.ready():
            sender.send(transport.address, b'hello')
            gevent.sleep(0.05)
    assert reader.value.sender == sender.address
    return reader.value.payload


def _raw_client(
    receiver: ZmqTransport, routing_id: bytes, pair: CurveKeyPair
) -> tuple[zmq.Context, zmq.Socket]:
    context = zmq.Context()
    client = context.socket(zmq.DEALER)
    client.routing_id = routing_id
    client.curve_serverkey = _OLD.public
    client.curve_publickey, client.curve_secretkey = pair.public, pair.secret
    client.connect(f'tcp://{receiver.address}')
    return context, client


def test_messages_pass_in_both_directions(
    open_transport: TransportOpener,
) -> None:
    """Guards against messages whose sender address cannot be answered."""
    one, two = open_transport(_OLD), open_transport(_OLD)
    one.send(two.address, b'question')
    with gevent.Timeout(10):
        question = two.receive()
        two.send(question.sender, b'answer')
        answer = one.receive()
    assert (question.sender, question.payload) == (one.address, b'question')
    assert (answer.sender, answer.payload) == (two.address, b'answer')


@pytest.mark.parametrize(
    ('sender_keys', 'receiver_keys'),
    [
        ((_OLD, _NEW), (_OLD,)),
        ((_OLD, _NEW), (_NEW, _OLD)),
        ((_NEW, _OLD), (_OLD, _NEW)),
        ((_NEW,), (_NEW, _OLD)),
    ],
)
def test_keys_are_rotated_without_interruption(
    open_transport: TransportOpener,
    sender_keys: tuple[CurveKeyPair, ...],
    receiver_keys: tuple[CurveKeyPair, ...],
) -> None:
    """Guards against nodes that cannot connect during a key rotation."""
    receiver = open_transport(*receiver_keys)
    assert _receive(receiver, open_transport(*sender_keys)) == b'hello'


@pytest.mark.parametrize(
    'receiver_keys', [(_OLD,), (_OLD, CurveKeyPair.generate())]
)
def test_wrong_keys_are_refused_with_a_remedy(
    open_transport: TransportOpener,
    receiver_keys: tuple[CurveKeyPair, ...],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against messages from nodes with other keys.

    Also guards against a refusal that is not logged.
    """
    lines: list[str] = []
    monkeypatch.setattr(
        logging, 'warning', lambda text, *rest: lines.append(text % rest)
    )
    foreign_node, receiver = (
        open_transport(_NEW),
        open_transport(*receiver_keys),
    )
    reader = gevent.spawn(receiver.receive)
    foreign_node.send(receiver.address, b'forged')
    _wait_until(lambda: bool(lines))
    gevent.sleep(0.5)
    assert not reader.ready()
    assert len(lines) == 1
    assert f'peer={receiver.address}' in lines[0]
    assert 'remedy="give both nodes the same CURVE keys' in lines[0]
    reader.kill()


def test_unknown_client_key_is_refused(
    open_transport: TransportOpener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against accepting clients that know only the public key."""
    lines: list[str] = []
    monkeypatch.setattr(
        logging, 'warning', lambda text, *rest: lines.append(text % rest)
    )
    receiver = open_transport(_OLD)
    reader = gevent.spawn(receiver.receive)
    context, client = _raw_client(receiver, b'sixsix', _NEW)
    client.send(b'forged')
    _wait_until(lambda: bool(lines))
    gevent.sleep(0.3)
    context.destroy(linger=0)
    assert not reader.ready()
    assert len(lines) == 1
    assert 'event=curve_client_refused' in lines[0]
    reader.kill()


def test_idle_peers_are_closed_and_reopened(
    open_transport: TransportOpener,
) -> None:
    """Guards against sockets that accumulate as members join and leave."""
    one, two = open_transport(_OLD, idle_ms=100), open_transport(_OLD)
    assert _receive(two, one) == b'hello'
    _wait_until(lambda: one.peer_count == 0)
    assert _receive(two, one) == b'hello'


def test_unreachable_peer_does_not_block(
    open_transport: TransportOpener,
) -> None:
    """Guards against a dead peer that blocks its senders."""
    transport = open_transport(_OLD, queue_limit=8)
    dead_peer = Address(host='127.0.0.1', port=1)
    for _ in range(50):
        transport.send(dead_peer, b'payload')
    assert transport.lost_count == 50 - 8
    transport.send(dead_peer, bytes(MAX_MESSAGE_SIZE + 1))
    assert transport.lost_count == 50 - 7


def test_restarted_node_can_connect_again(
    open_transport: TransportOpener,
) -> None:
    """Guards against a restarted node that is refused as a duplicate."""
    receiver, restarted = open_transport(_OLD), open_transport(_OLD)
    context, before = _raw_client(receiver, restarted.address.pack(), _OLD)
    before.send(b'before')
    with gevent.Timeout(10):
        assert receiver.receive().payload == b'before'
    assert _receive(receiver, restarted) == b'hello'
    context.destroy(linger=0)


@pytest.mark.parametrize(
    ('routing_id', 'frames'),
    [(b'short', [b'x']), (b'longer-id', [b'x']), (b'sixsix', [b'x', b'y'])],
)
def test_malformed_frames_are_counted(
    open_transport: TransportOpener, routing_id: bytes, frames: list[bytes]
) -> None:
    """Guards against a reader that stops at an unexpected message."""
    receiver = open_transport(_OLD)
    context, client = _raw_client(receiver, routing_id, _OLD)
    client.send_multipart(frames)
    _wait_until(lambda: receiver.malformed_count == 1)
    context.destroy(linger=0)
    assert _receive(receiver, open_transport(_OLD)) == b'hello'


def test_settings_errors_name_the_remedy(
    open_transport: TransportOpener,
) -> None:
    """Guards against a start-up failure that does not say what to do."""
    with pytest.raises(CurveKeyError, match='give every node the same pair'):
        open_transport()
    with pytest.raises(CurveKeyError, match='generate a new pair'):
        CurveKeyPair(public=_OLD.public, secret=_NEW.secret)
    taken = open_transport(_OLD).address
    with pytest.raises(TransportBindError, match='choose a free'):
        ZmqTransport(address=taken, keys=(_OLD,), clock=SystemClock())
