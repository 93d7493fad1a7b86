"""Load reports: encoding, order and forged input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.routing.datagram_kind import DatagramKind
from anvilthread.routing.encapsulated import Encapsulated
from anvilthread.routing.encapsulation_codec import EncapsulationCodec
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_report_codec import (
    LOAD_REPORT_SIZE,
    LoadReportCodec,
)

AGENT = Address(host='192.0.2.1', port=4433)
CODEC = LoadReportCodec()
_SHORT = st.integers(0, 2**16 - 1)
_LONG = st.integers(0, 2**32 - 1)

reports = st.builds(
    LoadReport,
    service=_SHORT,
    agent=st.builds(
        Address,
        host=st.ip_addresses(v=4).map(str),
        port=_SHORT,
    ),
    incarnation=st.integers(0, 2**64 - 1),
    sequence=_LONG,
    connections=_LONG,
    busy=_SHORT,
    waiting=_SHORT,
    slots=_SHORT,
    accepted=_LONG,
    placed=_LONG,
    received=_LONG,
    warmth_percent=st.integers(0, 100),
    draining=st.booleans(),
)


@settings(derandomize=True, max_examples=200)
@given(reports)
def test_round_trip(report: LoadReport) -> None:
    """Guards against a field that changes or moves on the wire."""
    assert CODEC.decode(CODEC.encode(report)) == report


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=2 * LOAD_REPORT_SIZE))
def test_arbitrary_bytes_raise_nothing(wire: bytes) -> None:
    """Guards against a malformed report that ends the receiving task."""
    report = CODEC.decode(wire)
    assert report is None or CODEC.encode(report) == wire


@pytest.mark.parametrize('size', range(LOAD_REPORT_SIZE))
def test_truncated_report_is_refused(size: int) -> None:
    """Guards against reads beyond the end of the datagram."""
    wire = CODEC.encode(_report(1, 1))
    assert CODEC.decode(wire[:size]) is None
    assert CODEC.decode(wire + bytes(size + 1)) is None


@pytest.mark.parametrize(
    ('offset', 'value'), [(0, 0), (0, 2), (1, 2), (1, 255), (2, 101)]
)
def test_unknown_version_or_flag_is_refused(offset: int, value: int) -> None:
    """Guards against misread reports of another version."""
    wire = bytearray(CODEC.encode(_report(1, 1)))
    wire[offset] = value
    assert CODEC.decode(bytes(wire)) is None


def test_values_beyond_their_fields() -> None:
    """Guards against values out of range that prevent a busy agent's report."""
    report = LoadReport(
        service=1,
        agent=AGENT,
        incarnation=1,
        sequence=2**32 + 5,
        connections=2**40,
        waiting=70_000,
        accepted=2**32 + 7,
    )
    decoded = CODEC.decode(CODEC.encode(report))
    assert decoded is not None
    assert decoded.sequence == 5
    assert decoded.connections == 2**32 - 1
    assert decoded.waiting == 2**16 - 1
    assert decoded.accepted == 7


@pytest.mark.parametrize(
    ('earlier', 'later', 'expected'),
    [
        ((1, 1), (1, 2), True),
        ((1, 2), (1, 2), False),
        ((1, 3), (1, 2), False),
        ((1, 9), (2, 1), True),
        ((2, 1), (1, 9), False),
        ((1, 2**32 - 1), (1, 0), True),
        ((1, 0), (1, 2**32 - 1), False),
    ],
)
def test_order_of_reports(
    earlier: tuple[int, int], later: tuple[int, int], expected: bool
) -> None:
    """Guards against reordered reports and a sequence number that wraps."""
    assert _report(*later).follows(_report(*earlier)) is expected


@pytest.mark.parametrize('bit', range(0, LOAD_REPORT_SIZE * 8, 7))
def test_forged_report_fails_the_tag(bit: int) -> None:
    """Guards against reports that were modified or created without the key."""
    codec = EncapsulationCodec(keys=(bytes(16),))
    wire = codec.encode(
        Encapsulated(
            kind=DatagramKind.REPORT,
            service=1,
            service_address=AGENT,
            client=AGENT,
            balancer=AGENT,
            payload=CODEC.encode(_report(1, 1)),
        )
    )
    forged = bytearray(wire)
    forged[-1 - bit // 8] ^= 1 << bit % 8
    other = EncapsulationCodec(keys=(b'\1' * 16,))
    assert codec.decode(wire) is not None
    assert codec.decode(bytes(forged)) is None
    assert other.decode(wire) is None


def _report(incarnation: int, sequence: int) -> LoadReport:
    return LoadReport(
        service=1,
        agent=AGENT,
        incarnation=incarnation,
        sequence=sequence,
        connections=5,
    )
