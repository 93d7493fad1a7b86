"""Channels multiplexed over one transport."""

from random import Random

import gevent
from hypothesis import given, settings, strategies

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.transport import ChannelName, Channels
from standins.memory_network import MemoryNetwork

_ONE = Address(host='10.0.0.1', port=1)
_TWO = Address(host='10.0.0.2', port=1)


def test_each_channel_gets_its_own_messages() -> None:
    """Guards against a component that reads the messages of another."""
    clock = ManualClock()
    network = MemoryNetwork(clock=clock, random=Random(1))
    one = Channels(transport=network.transport(_ONE))
    two = Channels(transport=network.transport(_TWO))
    readers = {
        name: gevent.spawn(two.channel(name).receive) for name in ChannelName
    }
    for name in ChannelName:
        one.channel(name).send(_TWO, name.name.encode())
    clock.advance(10)
    for name, reader in readers.items():
        assert reader.value.payload == name.name.encode()
        assert reader.value.sender == _ONE
    one.close()
    two.close()


def test_full_channel_does_not_block_another() -> None:
    """Guards against a slow component that blocks the others."""
    clock = ManualClock()
    network = MemoryNetwork(clock=clock, random=Random(1))
    sender = network.transport(_ONE)
    channels = Channels(transport=network.transport(_TWO), queue_limit=2)
    for _ in range(5):
        sender.send(_TWO, bytes((ChannelName.OPERATOR, 0)))
    sender.send(_TWO, bytes((ChannelName.HANDOVER, 7)))
    clock.advance(10)
    assert channels.channel(ChannelName.OPERATOR).lost_count == 3
    assert channels.channel(ChannelName.HANDOVER).receive().payload == bytes(
        (7,)
    )
    channels.close()


@settings(derandomize=True, max_examples=50, deadline=None)
@given(payload=strategies.binary(max_size=8))
def test_unknown_prefixes_are_counted(payload: bytes) -> None:
    """Guards against a reader that stops at an unexpected first byte."""
    clock = ManualClock()
    network = MemoryNetwork(clock=clock, random=Random(1))
    channels = Channels(transport=network.transport(_TWO))
    network.transport(_ONE).send(_TWO, payload)
    clock.advance(10)
    known = payload[:1] in {bytes((name,)) for name in ChannelName}
    assert channels.malformed_count == int(not known)
    channels.close()
