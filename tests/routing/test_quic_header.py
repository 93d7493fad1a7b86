"""QUIC packet headers: valid forms and malformed input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.routing.connection_id_codec import CONNECTION_ID_SIZE
from anvilthread.routing.quic_header import (
    MIN_INITIAL_DATAGRAM_SIZE,
    destination_id,
    has_long_header,
    is_initial,
)

VERSION_1 = b'\0\0\0\1'
VERSION_2 = b'\x6b\x33\x43\xcf'
ROUTABLE = bytes(range(CONNECTION_ID_SIZE))


@pytest.mark.parametrize('length', range(21))
def test_long_header_id_of_each_length(length: int) -> None:
    """Guards against placement by the wrong bytes of a first packet."""
    expected = bytes(range(length))
    assert destination_id(_long(expected)) == expected


@pytest.mark.parametrize('length', [21, 64, 255])
def test_too_long_id_is_refused(length: int) -> None:
    """Guards against IDs longer than QUIC versions 1 and 2 allow."""
    assert destination_id(_long(bytes(length))) is None


def test_short_header_id() -> None:
    """Guards against routing by the wrong bytes of a short header."""
    assert destination_id(_short(0x40)) == ROUTABLE


@pytest.mark.parametrize('first', [0, 0x3F])
def test_packet_without_fixed_bit_is_refused(first: int) -> None:
    """Guards against forwarding datagrams that are not QUIC."""
    assert destination_id(_short(first)) is None


@pytest.mark.parametrize('size', range(1 + CONNECTION_ID_SIZE))
def test_truncated_short_header_is_refused(size: int) -> None:
    """Guards against connection IDs that are too short."""
    assert destination_id(_short(0x40)[:size]) is None


@pytest.mark.parametrize('size', range(6 + CONNECTION_ID_SIZE + 1))
def test_truncated_long_header_is_refused(size: int) -> None:
    """Guards against an ID that ends at the end of the datagram."""
    whole = _long(ROUTABLE)[: 6 + CONNECTION_ID_SIZE]
    assert destination_id(whole[:size]) is None


@pytest.mark.parametrize(
    ('first', 'version', 'size', 'expected'),
    [
        (0xC0, VERSION_1, MIN_INITIAL_DATAGRAM_SIZE, True),
        (0xD0, VERSION_2, MIN_INITIAL_DATAGRAM_SIZE, True),
        (0xC0, VERSION_1, MIN_INITIAL_DATAGRAM_SIZE - 1, False),
        (0xD0, VERSION_1, MIN_INITIAL_DATAGRAM_SIZE, False),
        (0xC0, VERSION_2, MIN_INITIAL_DATAGRAM_SIZE, False),
        (0xE0, VERSION_1, MIN_INITIAL_DATAGRAM_SIZE, False),
        (0x80, VERSION_1, MIN_INITIAL_DATAGRAM_SIZE, False),
        (0x40, VERSION_1, MIN_INITIAL_DATAGRAM_SIZE, False),
    ],
)
def test_only_initials_are_placed(
    first: int, version: bytes, size: int, expected: bool
) -> None:
    """Guards against placement of Handshake, 0-RTT or short-header packets."""
    datagram = b''.join((bytes([first]), version, b'\x08', bytes(8)))
    assert is_initial(datagram.ljust(size, b'\0')) is expected


@settings(derandomize=True, max_examples=500)
@given(st.binary(max_size=64) | st.binary(min_size=1190, max_size=1210))
def test_arbitrary_bytes_raise_nothing(datagram: bytes) -> None:
    """Guards against a malformed packet that ends the receiving task."""
    found = destination_id(datagram)
    assert found is None or found in datagram
    if is_initial(datagram):
        assert has_long_header(datagram)


def _long(destination: bytes) -> bytes:
    length = bytes([len(destination)])
    return b''.join((b'\xc0', VERSION_1, length, destination, bytes(20)))


def _short(first: int) -> bytes:
    return b''.join((bytes([first]), ROUTABLE, b'payload'))
