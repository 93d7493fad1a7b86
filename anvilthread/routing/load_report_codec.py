"""Wire form of load reports."""

import struct
from typing import Final

from anvilthread.address import Address
from anvilthread.routing.load_report import FULL_WARMTH_PERCENT, LoadReport

#: Version, flags, warmth, service, agent, incarnation, sequence, connections,
#: busy, waiting, slots, accepted, placed, received.
_LAYOUT: Final = struct.Struct('!BBBH6sQIIHHHIII')
_VERSION: Final = 1
_DRAINING: Final = 1
_COUNTER_MASK: Final = 0xFFFFFFFF
_MAX_SHORT: Final = 0xFFFF

#: Length in bytes of an encoded report.
LOAD_REPORT_SIZE: Final = _LAYOUT.size


class LoadReportCodec:
    """Encodes and decodes load reports.

    The authentication tag is part of the encapsulated datagram around them.
    """

    __slots__ = ()

    def encode(self, report: LoadReport) -> bytes:
        """Encodes a report in its fixed-size form.

        Counters wrap at 32 bits. Gauges stop at the maximum of their field:
        16 bits for busy, waiting and slots, 32 bits for connections.
        """
        return _LAYOUT.pack(
            _VERSION,
            _DRAINING if report.draining else 0,
            report.warmth_percent,
            report.service,
            report.agent.pack(),
            report.incarnation,
            report.sequence & _COUNTER_MASK,
            min(report.connections, _COUNTER_MASK),
            min(report.busy, _MAX_SHORT),
            min(report.waiting, _MAX_SHORT),
            min(report.slots, _MAX_SHORT),
            report.accepted & _COUNTER_MASK,
            report.placed & _COUNTER_MASK,
            report.received & _COUNTER_MASK,
        )

    def decode(self, wire: bytes) -> LoadReport | None:
        """Returns the report, or None if the bytes are malformed."""
        if len(wire) != LOAD_REPORT_SIZE:
            return None
        version, flags, warmth, service, agent, *numbers = _LAYOUT.unpack(wire)
        if version != _VERSION or warmth > FULL_WARMTH_PERCENT:
            return None
        if flags not in {0, _DRAINING}:
            return None
        return LoadReport(
            service=service,
            agent=Address.unpack(agent),
            incarnation=numbers[0],
            sequence=numbers[1],
            connections=numbers[2],
            busy=numbers[3],
            waiting=numbers[4],
            slots=numbers[5],
            accepted=numbers[6],
            placed=numbers[7],
            received=numbers[8],
            warmth_percent=warmth,
            draining=bool(flags),
        )
