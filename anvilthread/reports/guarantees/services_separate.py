"""Guarantee 2: no packet reaches another service."""

from collections.abc import Iterator
from itertools import chain
from typing import Final

from anvilthread.reports.connection_events import (
    ConnectionOpened,
    PacketMisrouted,
)
from anvilthread.reports.guarantees.violation import Violation
from anvilthread.reports.request_events import RequestStarted, RunStarted
from anvilthread.reports.trace import Trace


class ServicesSeparate:
    """Packets, requests and runs belong to the service of the client."""

    __slots__ = ()

    name: Final = 'services_separate'
    statement: Final = 'no packet or request reaches another service'

    def evidence(self, trace: Trace) -> int:
        """Number of connections, requests, runs and misrouted packets."""
        kinds = (ConnectionOpened, RequestStarted, RunStarted, PacketMisrouted)
        return sum(isinstance(line.event, kinds) for line in trace.lines)

    def violations(self, trace: Trace) -> Iterator[Violation]:
        """Yields every packet, request and run that reached another service."""
        return chain(
            _misrouted_packets(trace),
            _misrouted_requests(trace),
            _misrouted_runs(trace),
        )


def _misrouted_packets(trace: Trace) -> Iterator[Violation]:
    for line in trace.of_type(PacketMisrouted):
        packet = line.event
        yield Violation(
            line=line.number,
            reason=f'a packet for {packet.service} reached {packet.reached}',
        )


def _misrouted_requests(trace: Trace) -> Iterator[Violation]:
    services = {
        line.event.connection: line.event.service
        for line in trace.of_type(ConnectionOpened)
    }
    for line in trace.of_type(RequestStarted):
        request = line.event
        service = services.get(request.connection, request.service)
        if service != request.service:
            yield _violation(
                line.number, request.request, service, request.service
            )


def _misrouted_runs(trace: Trace) -> Iterator[Violation]:
    services = {
        line.event.request: line.event.service
        for line in trace.of_type(RequestStarted)
    }
    for line in trace.of_type(RunStarted):
        run = line.event
        service = services.get(run.request, run.service)
        if service != run.service:
            yield _violation(line.number, run.request, service, run.service)


def _violation(
    line: int, request: str, service: str, reached: str
) -> Violation:
    return Violation(
        line=line, reason=f'request {request} for {service} reached {reached}'
    )
