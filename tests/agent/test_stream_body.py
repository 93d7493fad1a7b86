"""Request bodies that are read from a stream for a target."""

from types import SimpleNamespace

import pytest
from gevent.event import Event

from anvilthread.agent.body_queue import BodyQueue
from anvilthread.agent.stream_body import StreamBody
from anvilthread.clock import ManualClock
from anvilthread.outcomes import (
    ClientGoneError,
    Outcome,
    OutcomeKind,
    Reason,
    Request,
    RequestHandler,
    SingleAnswer,
)
from anvilthread.outcomes.request_handler import MAX_BODY_BYTES
from standins.collected_answer import CollectedAnswer
from standins.requests import run_request

_CHUNK_BYTES = 65_536


class RecordingRunner:
    """Records the body sizes of the requests that it runs."""

    def __init__(self) -> None:
        self.sizes: list[int] = []

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Reads the whole body."""
        size = 0
        while part := request.body.read(_CHUNK_BYTES):
            size += len(part)
        self.sizes.append(size)
        answer.head(200, ())
        answer.end()
        return Outcome.answered()


def _body(size: int) -> StreamBody:
    body = BodyQueue()
    for start in range(0, size, _CHUNK_BYTES):
        body.feed(bytes(min(_CHUNK_BYTES, size - start)))
    body.end()
    stream = SimpleNamespace(body=body, cancelled=Event())
    return StreamBody(stream=stream, length=None)


def _request(body: StreamBody) -> Request:
    plain = run_request('x', deadline_ms=ManualClock().now_ms() + 1000)
    fields = {name: getattr(plain, name) for name in Request.__struct_fields__}
    return Request(**{**fields, 'body': body})


@pytest.mark.parametrize(
    ('size', 'run_sizes'),
    [
        (0, [0]),
        (10, [10]),
        (MAX_BODY_BYTES, [MAX_BODY_BYTES]),
        (MAX_BODY_BYTES + 1, []),
        (3 * MAX_BODY_BYTES, []),
    ],
)
def test_body_runs_whole_or_not_at_all(size: int, run_sizes: list[int]) -> None:
    """Guards against a truncated body that is run as a complete one."""
    runner = RecordingRunner()
    outcome = RequestHandler(runner=runner).handle(
        _request(_body(size)), CollectedAnswer()
    )
    assert runner.sizes == run_sizes
    if not run_sizes:
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.reason is Reason.BODY_TOO_LARGE


def test_stream_with_a_long_body_ends_in_an_error() -> None:
    """Guards against a stream whose body is truncated without an error."""
    body = _body(2 * MAX_BODY_BYTES)
    with pytest.raises(ClientGoneError, match='longer than'):
        for _ in range(100):
            body.read(_CHUNK_BYTES)
