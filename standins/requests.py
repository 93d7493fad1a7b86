"""Requests for tests and benchmarks."""

from gevent.event import Event

from anvilthread.outcomes import BytesBody, Request


def run_request(
    identifier: str,
    *,
    deadline_ms: int,
    idempotent: bool = False,
    query: str = '',
    key: str | None = None,
    body: bytes = b'',
    stream: bool = False,
    service: int = 1,
) -> Request:
    """Builds a request that a target stand-in records in its ledger.

    Args:
        identifier: Identifier in the ledger.
        deadline_ms: Monotonic deadline.
        idempotent: Whether it may run twice.
        query: Further parameters, such as ``&fault=lost``.
        key: Execution key.
        body: Body of the request.
        stream: Whether it is a stream.
        service: Number of the service.
    """
    return Request(
        method='POST',
        path=f'/run?id={identifier}{query}',
        headers=(),
        body=BytesBody(content=body),
        service=service,
        deadline_ms=deadline_ms,
        cancelled=Event(),
        idempotent=idempotent,
        stream=stream,
        execution_key=key,
    )
