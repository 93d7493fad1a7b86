"""Tests of the single outcome of a request and of classification."""

from collections.abc import Callable

import msgspec
import pytest
from gevent.event import Event

from anvilthread.clock import ManualClock
from anvilthread.outcomes import (
    Body,
    BytesBody,
    Outcome,
    OutcomeKind,
    Reason,
    Request,
    RequestClassifier,
    RequestHandler,
    SecondAnswerError,
    SingleAnswer,
)
from anvilthread.outcomes.body_buffer import BodyBuffer
from standins.collected_answer import CollectedAnswer
from standins.requests import run_request

Step = Callable[[SingleAnswer], None]
LOST = Outcome.unknown(Reason.ANSWER_LOST, 'lost')


class Rules:
    """Rules of one service."""

    deadline_ms = 2000

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns False for two methods and for one path."""
        return method not in {'POST', 'PATCH'} and not path.startswith(
            '/reserve'
        )

    def takes_slot(self, path: str) -> bool:
        """Returns False for one stream path."""
        return not path.startswith('/feed')


class FixedRunner:
    """Returns an outcome, or raises it."""

    def __init__(self, outcome: Outcome | Exception) -> None:
        self.outcome = outcome
        self.requests: list[Request] = []

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        self.requests.append(request)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        if self.outcome.kind is OutcomeKind.ANSWERED:
            answer.head(200, [('Anvilthread-Outcome', 'not-run')])
            answer.end()
        return self.outcome


def _head(answer: SingleAnswer) -> None:
    answer.head(200, [])


def _chunk(answer: SingleAnswer) -> None:
    answer.chunk(b'x')


def _end(answer: SingleAnswer) -> None:
    answer.end()


def _fail(answer: SingleAnswer) -> None:
    answer.fail(LOST)


@pytest.mark.parametrize(
    'steps',
    [
        [_chunk],
        [_end],
        [_head, _head],
        [_head, _end, _end],
        [_head, _end, _chunk],
        [_head, _end, _fail],
        [_fail, _head],
        [_fail, _fail],
        [_head, _fail, _chunk],
    ],
)
def test_second_answer_is_refused(steps: list[Step]) -> None:
    """Guards against two answers to one request, and parts out of order."""
    answer = SingleAnswer(responder=CollectedAnswer())
    for step in steps[:-1]:
        step(answer)
    with pytest.raises(SecondAnswerError):
        steps[-1](answer)


@pytest.mark.parametrize(
    ('outcome', 'status', 'header', 'retry_after'),
    [
        (Outcome.not_run(Reason.OVERLOADED, 'x', 1400), 503, 'not-run', '2'),
        (Outcome.not_run(Reason.DRAINING, 'x'), 503, 'not-run', None),
        (Outcome.not_run(Reason.KEY_EXPIRED, 'x'), 422, 'not-run', None),
        (Outcome.unknown(Reason.KEY_EXPIRED, 'x'), 502, 'unknown', None),
        (LOST, 502, 'unknown', None),
    ],
)
def test_outcome_as_problem_details(
    outcome: Outcome, status: int, header: str, retry_after: str | None
) -> None:
    """Guards against clients that cannot tell the outcomes apart."""
    headers = dict(outcome.headers)
    assert outcome.status == status
    assert headers['anvilthread-outcome'] == header
    assert headers.get('retry-after') == retry_after
    assert str(outcome.reason).encode() in outcome.body
    assert int(headers['content-length']) == len(outcome.body)


def test_target_cannot_set_the_outcome_header() -> None:
    """Guards against a target that contradicts the agent."""
    collected = CollectedAnswer()
    handler = RequestHandler(runner=FixedRunner(Outcome.answered()))
    handler.handle(run_request('x', deadline_ms=9), collected)
    assert collected.headers == {'anvilthread-outcome': 'answered'}
    assert collected.whole


def test_fault_of_the_agent_is_unknown() -> None:
    """Guards against a request without any outcome."""
    collected = CollectedAnswer()
    handler = RequestHandler(runner=FixedRunner(RuntimeError('fault')))
    with pytest.raises(RuntimeError):
        handler.handle(run_request('x', deadline_ms=9), collected)
    assert collected.failure is not None
    assert collected.failure.kind is OutcomeKind.UNKNOWN


class UnsizedBody(BytesBody):
    """A body whose length is not known in advance."""

    length = None  # type: ignore[assignment]


@pytest.mark.parametrize('kind', [BytesBody, UnsizedBody])
@pytest.mark.parametrize(('size', 'runs'), [(100, 1), (101, 0)])
def test_body_is_bounded(size: int, runs: int, kind: type[BytesBody]) -> None:
    """Guards against unbounded memory, and a run with a truncated body."""
    runner = FixedRunner(LOST)
    handler = RequestHandler(runner=runner, max_body_bytes=100)
    collected = CollectedAnswer()
    request = run_request('x', deadline_ms=9)
    body: Body = kind(content=bytes(size))
    handler.handle(msgspec.structs.replace(request, body=body), collected)
    assert len(runner.requests) == runs
    if runs:
        assert runner.requests[0].body.length == size
    else:
        assert collected.failure is not None
        assert collected.failure.status == 413


def test_bodies_are_bounded_together() -> None:
    """Guards against many uploads that exhaust the memory of the agent."""
    bodies = BodyBuffer(body_limit=100, total_limit=150)
    with bodies.buffer(BytesBody(content=bytes(100))).unwrap():
        refusal = bodies.buffer(BytesBody(content=bytes(51))).unwrap_err()
        assert refusal.kind is OutcomeKind.NOT_RUN
        with bodies.buffer(BytesBody(content=bytes(50))).unwrap() as body:
            assert body.length == 50
            assert bodies.held_bytes == 150
    assert bodies.held_bytes == 0


@pytest.mark.parametrize(
    ('method', 'path', 'headers', 'expected'),
    [
        ('GET', '/x', (), (True, False, 2000)),
        ('post', '/x', (), (False, False, 2000)),
        ('GET', '/reserve/1', (), (False, False, 2000)),
        ('GET', '/feed/1', (), (True, True, 2000)),
        (
            'GET',
            '/x',
            (('Accept', 'text/event-stream'),),
            (True, True, 2000),
        ),
        (
            'GET',
            '/x',
            (('Anvilthread-Deadline-Ms', '150'),),
            (True, False, 150),
        ),
        (
            'GET',
            '/x',
            (('Anvilthread-Deadline-Ms', '999999'),),
            (True, False, 300_000),
        ),
    ],
)
def test_classification(
    method: str,
    path: str,
    headers: tuple[tuple[str, str], ...],
    expected: tuple[bool, bool, int],
) -> None:
    """Guards against a repeated reservation and a stream treated as short."""
    clock = ManualClock(start_ms=500)
    classifier = RequestClassifier(clock=clock, rules={1: Rules()})
    request = classifier.classify(
        service=1,
        method=method,
        path=path,
        headers=(*headers, ('Idempotency-Key', 'k')),
        body=BytesBody(),
        cancelled=Event(),
    ).unwrap()
    left_ms = request.deadline_ms - 500
    assert (request.idempotent, request.stream, left_ms) == expected
    assert request.execution_key == 'k'


@pytest.mark.parametrize('text', ['', '-1', 'soon', '1.5', '١'])
def test_malformed_deadline_is_not_run(text: str) -> None:
    """Guards against a deadline that is silently replaced."""
    classifier = RequestClassifier(clock=ManualClock(), rules={1: Rules()})
    outcome = classifier.classify(
        service=1,
        method='GET',
        path='/',
        headers=[('Anvilthread-Deadline-Ms', text)],
        body=BytesBody(),
        cancelled=Event(),
    ).unwrap_err()
    assert (outcome.kind, outcome.status) == (OutcomeKind.NOT_RUN, 400)
