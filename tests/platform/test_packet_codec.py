"""Decoding and rewriting of the platform's packets."""

import pytest
from packet_codec import PacketCodec

from anvilthread.flows.flow_key import flow_name

_SYN = bytes.fromhex(
    '10000000000000000000000011223344000000 00a1b2c3d5c6120001644000 0701bb9c41'
)
_RESET = bytes.fromhex(
    '020000000000000000000000000000000000000000000000644000 07c61200019c4101bb'
)
_CODEC = PacketCodec()
_MARK = 0xFACE1234


def _with_length(length: int, body: bytes) -> bytes:
    return b''.join((_SYN[:10], length.to_bytes(2, 'big'), _SYN[12:], body))


def test_published_example() -> None:
    """Guards against fields decoded at other offsets than peers use."""
    packet = _CODEC.from_client(_SYN)
    assert packet is not None
    assert packet.opens
    assert packet.size == 0
    assert flow_name(packet.key) == '100.64.0.7:40001>198.18.0.1:443'


def test_reset_of_published_example() -> None:
    """Guards against resets that clients ignore."""
    packet = _CODEC.from_client(_SYN)
    assert packet is not None
    assert _CODEC.reset(packet.key, 0) == _RESET


def test_both_directions_have_one_key() -> None:
    """Guards against answers that are assigned to another flow."""
    to_target = _CODEC.from_client(_SYN)
    hosts = (_SYN[28:32], _SYN[24:28])
    ports = (_SYN[34:], _SYN[32:34])
    swapped = b''.join((_SYN[:24], *hosts, *ports))
    to_client = _CODEC.from_target(swapped)
    assert to_target is not None and to_client is not None
    assert to_target.key == to_client.key


def test_bounced_packet_is_restored() -> None:
    """Guards against a packet that another target would reject as altered."""
    marked = _CODEC.marked(_SYN, _MARK)
    bounced = bytes((marked[0] | 8,)) + marked[1:]
    packet = _CODEC.from_target(bounced)
    assert packet is not None
    assert packet.is_bounced
    assert packet.mark == _MARK
    assert _CODEC.unbounced(bounced) == _SYN


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\x10',
        _SYN[:-1],
        b''.join((_SYN, b'x')),
        _with_length(5, b''),
        _with_length(1201, bytes(1201)),
    ],
)
def test_malformed(content: bytes) -> None:
    """Guards against a crash on bytes that are not a packet."""
    assert _CODEC.from_client(content) is None
    assert _CODEC.from_target(content) is None
