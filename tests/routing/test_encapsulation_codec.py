"""Encapsulation codec: tag, key rotation and malformed input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import (
    OVERHEAD_SIZE,
    EncapsulationCodec,
    answer_source,
    forward_end,
    forward_start,
)
from anvilthread.transport.datagram_authenticator import DatagramKeyError

OLD_KEY = b'o' * 32
NEW_KEY = b'n' * 32
CODEC = EncapsulationCodec(keys=(OLD_KEY,))

addresses = st.builds(
    Address,
    host=st.ip_addresses(v=4).map(str),
    port=st.integers(1, 2**16 - 1),
)
datagrams = st.builds(
    Encapsulated,
    kind=st.sampled_from(DatagramKind),
    service=st.integers(0, 2**16 - 1),
    service_address=addresses,
    client=addresses,
    balancer=addresses,
    payload=st.binary(max_size=1500),
    alternate=st.none() | addresses,
    hops=st.integers(0, 255),
)


@settings(derandomize=True, max_examples=200)
@given(datagrams)
def test_round_trip(datagram: Encapsulated) -> None:
    """Guards against answers that go to another client."""
    wire = CODEC.encode(datagram)
    assert len(wire) == OVERHEAD_SIZE + len(datagram.payload)
    decoded = CODEC.decode(wire)
    assert decoded is not None
    for field in Encapsulated.__slots__:
        assert getattr(decoded, field) == getattr(datagram, field)


@settings(derandomize=True, max_examples=200)
@given(datagrams)
def test_forwarding_form_is_the_same(datagram: Encapsulated) -> None:
    """Guards against a short path that writes other fields or another tag."""
    datagram.kind = DatagramKind.FORWARD
    datagram.alternate = None
    datagram.hops = 0
    start = forward_start(
        service=datagram.service,
        service_address=datagram.service_address.pack(),
    )
    wire = CODEC.encode_forward(
        start,
        datagram.client.endpoint,
        forward_end(datagram.balancer.pack()),
        datagram.payload,
    )
    assert wire == CODEC.encode(datagram)


@settings(derandomize=True, max_examples=200)
@given(datagrams)
def test_answer_form_is_the_same(datagram: Encapsulated) -> None:
    """Guards against an answer for another client or of another kind."""
    answer = CODEC.decode_answer(CODEC.encode(datagram))
    if datagram.kind is not DatagramKind.ANSWER:
        assert answer is None
        return
    assert answer is not None
    assert answer.client == datagram.client.endpoint
    assert answer.payload == datagram.payload
    assert answer.source == answer_source(
        service=datagram.service,
        service_address=datagram.service_address.pack(),
    )


@settings(derandomize=True, max_examples=200)
@given(datagrams, st.data())
def test_any_changed_byte_of_an_answer_is_refused(
    datagram: Encapsulated, data: st.DataObject
) -> None:
    """Guards against answers that are sent on without a check of the tag."""
    datagram.kind = DatagramKind.ANSWER
    wire = bytearray(CODEC.encode(datagram))
    position = data.draw(st.integers(0, len(wire) - 1))
    wire[position] ^= data.draw(st.integers(1, 255))
    assert CODEC.decode_answer(bytes(wire)) is None


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused(wire: bytes) -> None:
    """Guards against datagrams from outside that reach a connection."""
    assert CODEC.decode(wire) is None


@settings(derandomize=True, max_examples=200)
@given(datagrams, st.data())
def test_any_changed_byte_is_refused(
    datagram: Encapsulated, data: st.DataObject
) -> None:
    """Guards against a tag that does not cover some field."""
    wire = bytearray(CODEC.encode(datagram))
    position = data.draw(st.integers(0, len(wire) - 1))
    wire[position] ^= data.draw(st.integers(1, 255))
    assert CODEC.decode(bytes(wire)) is None


@settings(derandomize=True, max_examples=100)
@given(datagrams, st.data())
def test_truncated_datagram_is_refused(
    datagram: Encapsulated, data: st.DataObject
) -> None:
    """Guards against a cut payload that is taken for a whole one."""
    wire = CODEC.encode(datagram)
    assert (
        CODEC.decode(wire[: data.draw(st.integers(0, len(wire) - 1))]) is None
    )


@pytest.mark.parametrize('kind', [0, 5, 255])
def test_unknown_kind_with_valid_tag_is_refused(kind: int) -> None:
    """Guards against an exception on kinds of a later version."""
    packed = Address(host='192.0.2.1', port=1).pack()
    wire = CODEC.encode_raw(
        kind=kind,
        service=1,
        service_address=packed,
        client=packed,
        balancer=packed,
        payload=b'x',
    )
    assert CODEC.decode(wire) is None


def test_rotation_accepts_both_keys() -> None:
    """Guards against datagrams lost during a key rotation."""
    wire = CODEC.encode(_datagram())
    rotating = EncapsulationCodec(keys=(NEW_KEY, OLD_KEY))
    preparing = EncapsulationCodec(keys=(OLD_KEY, NEW_KEY))
    assert rotating.decode(wire) is not None
    assert preparing.decode(rotating.encode(_datagram())) is not None
    finished = EncapsulationCodec(keys=(NEW_KEY,))
    assert finished.decode(wire) is None
    assert finished.decode(rotating.encode(_datagram())) is not None


@pytest.mark.parametrize('keys', [(), (b'',), (bytes(15),), (bytes(65),)])
def test_unusable_keys_name_the_remedy(keys: tuple[bytes, ...]) -> None:
    """Guards against datagrams with an ineffective tag."""
    with pytest.raises(DatagramKeyError) as raised:
        EncapsulationCodec(keys=keys)
    assert raised.value.remedy


def _datagram() -> Encapsulated:
    return Encapsulated(
        kind=DatagramKind.PLACE,
        service=1,
        service_address=Address(host='192.0.2.9', port=9),
        client=Address(host='192.0.2.1', port=1),
        balancer=Address(host='192.0.2.2', port=2),
        payload=b'initial',
        alternate=Address(host='192.0.2.3', port=3),
    )
