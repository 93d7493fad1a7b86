"""Connection ID codec: keys, rotation, forged and malformed input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.routing.connection_id import ConnectionId
from anvilthread.routing.connection_id_codec import (
    CONNECTION_ID_SIZE,
    KEY_NUMBERS,
    RESET_TOKEN_SIZE,
    ConnectionIdCodec,
    ConnectionIdKeyError,
)
from anvilthread.routing.quic_header import destination_id

KEYS = {number: bytes([number + 1]) * 16 for number in KEY_NUMBERS}
_BITS_24 = st.integers(0, 2**24 - 1)

contents = st.builds(
    ConnectionId,
    service=st.integers(0, 2**16 - 1),
    agent=st.builds(
        Address,
        host=st.ip_addresses(v=4).map(str),
        port=st.integers(0, 2**16 - 1),
    ),
    incarnation=_BITS_24,
    counter=_BITS_24,
)


@settings(derandomize=True, max_examples=200)
@given(contents, st.sampled_from(KEY_NUMBERS))
def test_round_trip_with_each_key(content: ConnectionId, active: int) -> None:
    """Guards against packets that reach another agent or service."""
    codec = ConnectionIdCodec(keys=KEYS, active=active)
    encrypted = codec.encode(content)
    assert len(encrypted) == CONNECTION_ID_SIZE
    assert _fields(codec.decode(encrypted)) == _fields(content)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=24))
def test_arbitrary_bytes_raise_nothing(encrypted: bytes) -> None:
    """Guards against a malformed ID that ends the forwarding task."""
    codec = ConnectionIdCodec(keys={0: KEYS[0]}, active=0)
    content = codec.decode(encrypted)
    assert (content is None) == (codec.decrypt(encrypted) is None)
    if len(encrypted) != CONNECTION_ID_SIZE:
        assert content is None


def test_forged_ids_are_refused() -> None:
    """Guards against routing by IDs that were not issued with our keys.

    With two check bytes, one forged ID in 65,536 is accepted.
    """
    codec = ConnectionIdCodec(keys={0: KEYS[0]}, active=0)
    encrypted = codec.encode(_content())
    accepted = 0
    for bit in range(8, CONNECTION_ID_SIZE * 8):
        forged = bytearray(encrypted)
        forged[bit // 8] ^= 1 << bit % 8
        accepted += codec.decode(bytes(forged)) is not None
    assert not accepted


@pytest.mark.parametrize('number', [1, 3, 6, 7])
def test_unknown_key_number_is_refused(number: int) -> None:
    """Guards against an exception on an ID with an unconfigured key."""
    codec = ConnectionIdCodec(keys={0: KEYS[0]}, active=0)
    encrypted = codec.encode(_content())
    first = bytes([number << 5])
    assert codec.decode(first + encrypted[1:]) is None


def test_wrong_key_is_refused() -> None:
    """Guards against routing by random data on a node with wrong keys."""
    issuer = ConnectionIdCodec(keys={0: KEYS[0]}, active=0)
    reader = ConnectionIdCodec(keys={0: KEYS[1]}, active=0)
    for counter in range(100):
        assert reader.decode(issuer.encode(_content(counter=counter))) is None


def test_rotation_keeps_connections() -> None:
    """Guards against a key rotation that breaks open connections."""
    old = ConnectionIdCodec(keys={0: KEYS[0]}, active=0)
    both = ConnectionIdCodec(keys={0: KEYS[0], 1: KEYS[1]}, active=0)
    rotated = ConnectionIdCodec(keys={0: KEYS[0], 1: KEYS[1]}, active=1)
    issued = (old.encode(_content()), rotated.encode(_content(counter=2)))
    for reader in (both, rotated):
        for encrypted in issued:
            assert reader.decode(encrypted) is not None
    assert old.decode(issued[1]) is None
    assert issued[1][0] >> 5 == 1


def test_id_of_another_service_names_that_service() -> None:
    """Guards against a packet of one service that reaches another one.

    The balancer compares the number with the service of the address.
    """
    codec = ConnectionIdCodec(keys=KEYS, active=0)
    decoded = codec.decode(codec.encode(_content(service=2)))
    assert decoded is not None
    assert decoded.service == 2


@settings(derandomize=True, max_examples=300)
@given(contents, st.integers(0, 255), st.integers(0, 60), st.booleans())
def test_short_header_gives_the_same_block(
    content: ConnectionId, first: int, size: int, known: bool
) -> None:
    """Guards against a short path that skips a check of the header or ID."""
    codec = ConnectionIdCodec(keys=KEYS, active=0)
    other = ConnectionIdCodec(keys={0: bytes(16)}, active=0)
    encrypted = (codec if known else other).encode(content)
    datagram = (bytes((first,)) + encrypted).ljust(60, b'p')[:size]
    expected = None
    if first < 0x80:
        connection_id = destination_id(datagram)
        if connection_id is not None:
            expected = codec.decrypt(connection_id)
    assert codec.decrypt_short(datagram) == expected


@pytest.mark.parametrize('size', range(CONNECTION_ID_SIZE + 1))
def test_cut_short_header_leaves_the_cipher_intact(size: int) -> None:
    """Guards against a partial block that shifts all later decryption."""
    codec = ConnectionIdCodec(keys=KEYS, active=0)
    datagram = bytes((0x40, *codec.encode(_content())))
    assert codec.decrypt_short(datagram[:size]) is None
    assert codec.decrypt_short(datagram) == codec.decrypt(datagram[1:])
    assert codec.decrypt_short(datagram) is not None


def test_ids_of_one_agent_look_unrelated() -> None:
    """Guards against IDs that an observer can link to one connection."""
    codec = ConnectionIdCodec(keys=KEYS, active=0)
    issued = {codec.encode(_content(counter=number)) for number in range(256)}
    assert len({encrypted[1:5] for encrypted in issued}) == 256


def test_reset_token_depends_on_id_and_key() -> None:
    """Guards against tokens that reset connections of other clients."""
    codec = ConnectionIdCodec(keys=KEYS, active=0)
    same = ConnectionIdCodec(keys=KEYS, active=1)
    other = ConnectionIdCodec(keys={0: KEYS[1]}, active=0)
    first = codec.encode(_content(counter=1))
    second = codec.encode(_content(counter=2))
    token = codec.reset_token(first)
    assert len(token) == RESET_TOKEN_SIZE
    assert same.reset_token(first) == token
    assert codec.reset_token(second) != token
    assert other.reset_token(first) != token


@pytest.mark.parametrize(
    ('keys', 'active'),
    [
        ({}, 0),
        ({0: KEYS[0]}, 1),
        ({7: KEYS[0]}, 7),
        ({0: bytes(15)}, 0),
        ({0: KEYS[0], 1: bytes(17)}, 0),
    ],
)
def test_unusable_keys_name_the_remedy(
    keys: dict[int, bytes], active: int
) -> None:
    """Guards against a start with unusable keys."""
    with pytest.raises(ConnectionIdKeyError) as raised:
        ConnectionIdCodec(keys=keys, active=active)
    assert raised.value.remedy


def _content(*, service: int = 1, counter: int = 1) -> ConnectionId:
    return ConnectionId(
        service=service,
        agent=Address(host='192.0.2.7', port=4433),
        incarnation=9,
        counter=counter,
    )


def _fields(content: ConnectionId | None) -> tuple[object, ...] | None:
    if content is None:
        return None
    return (
        content.service,
        content.agent,
        content.incarnation,
        content.counter,
    )
