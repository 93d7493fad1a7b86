"""Recorded events of requests and of their runs at targets."""

from enum import StrEnum

from anvilthread.reports.trace_event import TraceEvent


class RecordedOutcome(StrEnum):
    """Outcome of a request as reported to the client."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RequestStarted(TraceEvent, frozen=True, tag='request_started'):
    """A request has reached an agent.

    Attributes:
        request: Identifier of this attempt in the trace.
        connection: Connection that it arrived on.
        service: Service of the connection.
        key: Execution key; None for a request without one.
        idempotent: Whether the request may run more than once.
    """

    request: str
    connection: str
    service: str
    key: str | None = None
    idempotent: bool = True


class RequestEnded(TraceEvent, frozen=True, tag='request_ended'):
    """A client has received the outcome of its request.

    Attributes:
        request: Identifier of the attempt.
        service: Service of the request.
        outcome: Outcome as reported to the client.
        latency_ms: Time since the request was sent.
        digest: Digest of the answer as the client received it.
    """

    request: str
    service: str
    outcome: RecordedOutcome
    latency_ms: float
    digest: str | None = None


class RunStarted(TraceEvent, frozen=True, tag='run_started'):
    """A target has started to run a request.

    Attributes:
        run: Identifier of the run in the trace.
        request: Identifier of the attempt that caused it.
        service: Service that the target runs.
        key: Execution key of the request.
        idempotent: Whether the request may run more than once.
    """

    run: str
    request: str
    service: str
    key: str | None = None
    idempotent: bool = True


class RunEnded(TraceEvent, frozen=True, tag='run_ended'):
    """A target has ended a run.

    Attributes:
        run: Identifier of the run.
        digest: Digest of the whole answer as the target sent it.
        interrupted: Whether the run was cut off by the system.
    """

    run: str
    digest: str | None = None
    interrupted: bool = False
