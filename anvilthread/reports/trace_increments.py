"""Indicator counts from a recorded trace."""

from collections.abc import Iterator

from anvilthread.reports.connection_events import ConnectionClosed
from anvilthread.reports.increment import Increment
from anvilthread.reports.indicator import Indicator
from anvilthread.reports.objectives import ServiceObjectives
from anvilthread.reports.request_events import RecordedOutcome, RequestEnded
from anvilthread.reports.trace import Trace


def trace_increments(
    trace: Trace, objectives: ServiceObjectives
) -> Iterator[Increment]:
    """Yields the increments of closed connections and ended requests.

    Args:
        trace: The recorded events.
        objectives: Gives the latency limit of each service.
    """
    for closed in trace.of_type(ConnectionClosed):
        yield _increment(
            closed.event,
            Indicator.CONNECTIONS_KEPT,
            is_bad=closed.event.reason.is_broken,
        )
    for ended in trace.of_type(RequestEnded):
        request = ended.event
        is_answered = request.outcome is RecordedOutcome.ANSWERED
        yield _increment(
            request, Indicator.REQUESTS_ANSWERED, is_bad=not is_answered
        )
        if is_answered:
            limit_ms = objectives.of(request.service).latency_ms
            yield _increment(
                request, Indicator.LATENCY, is_bad=request.latency_ms > limit_ms
            )


def _increment(
    event: ConnectionClosed | RequestEnded,
    indicator: Indicator,
    *,
    is_bad: bool,
) -> Increment:
    return Increment(
        ts_ms=event.ts_ms,
        service=event.service,
        indicator=indicator,
        total=1,
        bad=int(is_bad),
    )
