"""A client request, as all components behind the agent use it."""

import msgspec
from gevent.event import Event

from anvilthread.outcomes.body import Body

Headers = tuple[tuple[str, str], ...]


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a client.

    Args:
        method: HTTP method in capitals.
        path: Path with query.
        headers: Pairs of lower-case name and value, without pseudo-headers.
        body: Source of the body.
        service: Number of the service that the connection belongs to.
        deadline_ms: Monotonic time after which an answer is useless. For a
            stream it limits the time to the head of the answer.
        cancelled: Set by the agent when the client cancels or disconnects.
        idempotent: Whether running it twice is allowed.
        stream: Whether the answer may last as long as the connection.
        execution_key: Value of ``Idempotency-Key``, if the client sent one.
    """

    method: str
    path: str
    headers: Headers
    body: Body
    service: int
    deadline_ms: int
    cancelled: Event
    idempotent: bool
    stream: bool = False
    execution_key: str | None = None
