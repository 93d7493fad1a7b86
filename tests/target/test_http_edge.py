"""Outcomes of the HTTP edge, checked against the ledger of the target."""

import hashlib
from collections.abc import Iterator

import gevent
import msgspec
import pytest

from anvilthread.address import Address
from anvilthread.admission import Slot, SlotPool
from anvilthread.clock import SystemClock
from anvilthread.outcomes import (
    ClientGoneError,
    Outcome,
    OutcomeKind,
    Reason,
    Request,
    SingleAnswer,
)
from anvilthread.target import HttpEdge
from standins.collected_answer import CollectedAnswer
from standins.picture import picture
from standins.requests import run_request
from standins.target import Target, TargetBehaviour

LOCALHOST = Address(host='127.0.0.1', port=0)


class EdgeHarness:
    """A target, its edge and a slot pool of the same size."""

    def __init__(self, slots: int = 2) -> None:
        self.clock = SystemClock()
        self.target = Target(
            listen=LOCALHOST, behaviour=TargetBehaviour(slots=slots)
        )
        self.target.start()
        self.edge = HttpEdge(clock=self.clock, target=self.target.address)
        self.pool = SlotPool(slots=slots)

    def slot(self) -> Slot:
        slot = self.pool.take()
        assert slot is not None
        return slot

    def request(
        self, identifier: str, query: str = '', *, idempotent: bool = False
    ) -> Request:
        return run_request(
            identifier,
            deadline_ms=self.clock.now_ms() + 5000,
            idempotent=idempotent,
            query=query,
        )

    def run(
        self, request: Request, collected: CollectedAnswer | None = None
    ) -> tuple[Outcome, CollectedAnswer]:
        collected = collected or CollectedAnswer()
        answer = SingleAnswer(responder=collected)
        return self.edge.run(request, answer, self.slot()), collected


@pytest.fixture(name='harness')
def _harness() -> Iterator[EdgeHarness]:
    harness = EdgeHarness()
    yield harness
    harness.edge.close()
    harness.target.kill()


@pytest.mark.parametrize('idempotent', [False, True])
@pytest.mark.parametrize(
    ('fault', 'kind', 'ran'),
    [
        ('', OutcomeKind.ANSWERED, 1),
        ('refuse', OutcomeKind.NOT_RUN, 0),
        ('drop', OutcomeKind.UNKNOWN, 0),
        ('lost', OutcomeKind.UNKNOWN, 1),
        ('cut', OutcomeKind.UNKNOWN, 1),
        ('bare', OutcomeKind.UNKNOWN, 1),
        ('error', OutcomeKind.ANSWERED, 1),
    ],
)
def test_outcome_agrees_with_the_ledger(
    harness: EdgeHarness,
    fault: str,
    kind: OutcomeKind,
    ran: int,
    idempotent: bool,
) -> None:
    """Guards against *not run* for a request that ran, and a silent resend."""
    # The second request would use an idle connection of the first.
    harness.run(harness.request('warm', idempotent=True))
    request = harness.request('x', f'&fault={fault}', idempotent=idempotent)
    outcome, collected = harness.run(request)
    assert outcome.kind is kind
    assert harness.target.ledger.starts()['x'] == ran
    assert collected.whole is (kind is OutcomeKind.ANSWERED)
    assert bytes(collected.content) in {b'', b'ran x', b'ra'}


def test_refused_connection_is_not_run(harness: EdgeHarness) -> None:
    """Guards against *unknown* when nothing was sent."""
    harness.target.kill()
    outcome, _ = harness.run(harness.request('x'))
    assert outcome.kind is OutcomeKind.NOT_RUN
    assert outcome.reason is Reason.TARGET_UNAVAILABLE
    assert harness.pool.busy == 0


@pytest.mark.parametrize(('idempotent', 'connections'), [(True, 1), (False, 2)])
def test_only_idempotent_requests_reuse_connections(
    harness: EdgeHarness, idempotent: bool, connections: int
) -> None:
    """Guards against a run lost on a stale connection."""
    for identifier in ('a', 'b'):
        outcome, _ = harness.run(
            harness.request(identifier, idempotent=idempotent)
        )
        assert outcome.kind is OutcomeKind.ANSWERED
    assert harness.target.connections == connections


def test_target_killed_during_the_run_is_unknown(harness: EdgeHarness) -> None:
    """Guards against *not run* for a run that was cut short."""
    task = gevent.spawn(harness.run, harness.request('x', '&ms=5000'))
    while not harness.target.ledger.starts()['x']:
        gevent.sleep(0.001)
    harness.target.kill()
    outcome, _ = task.get(timeout=5)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert harness.target.ledger.outcomes('x') == ['killed']


@pytest.mark.parametrize(
    ('fault', 'ledger'), [('', 'cancelled'), ('deaf', 'done')]
)
def test_cancelled_request_keeps_its_slot(
    harness: EdgeHarness, fault: str, ledger: str
) -> None:
    """Guards against more runs on the target than it has slots."""
    request = harness.request('x', f'&ms=300&fault={fault}')
    task = gevent.spawn(harness.run, request)
    while not harness.target.ledger.starts()['x']:
        gevent.sleep(0.001)
    request.cancelled.set()
    outcome, _ = task.get(timeout=5)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert harness.pool.busy == 1
    assert harness.pool.idle.wait(timeout=5)
    assert harness.target.ledger.outcomes('x') == [ledger]


def test_deadline_is_passed_on_and_ends_the_run(harness: EdgeHarness) -> None:
    """Guards against a run that continues after its deadline."""
    request = msgspec.structs.replace(
        harness.request('x', '&ms=5000'),
        deadline_ms=harness.clock.now_ms() + 300,
    )
    outcome, _ = harness.run(request)
    assert outcome.kind is OutcomeKind.UNKNOWN
    assert harness.pool.idle.wait(timeout=5)
    assert harness.target.ledger.outcomes('x')[0] in {'deadline', 'cancelled'}


def test_target_receives_the_remaining_time(harness: EdgeHarness) -> None:
    """Guards against a target that does not know when to stop."""
    request = msgspec.structs.replace(
        harness.request('e', idempotent=True),
        method='GET',
        path='/echo',
        headers=(
            ('anvilthread-deadline-ms', '999999'),
            ('connection', 'x-hop'),
            ('x-hop', '1'),
            ('x-kept', '1'),
        ),
    )
    _, collected = harness.run(request)
    echoed = msgspec.json.decode(bytes(collected.content))
    headers = {name.lower(): text for name, text in echoed['headers']}
    assert 0 < int(headers['anvilthread-deadline-ms']) <= 5000
    assert headers['x-kept'] == '1'
    assert 'x-hop' not in headers


def test_large_answer_to_a_slow_client_is_bounded(harness: EdgeHarness) -> None:
    """Guards against buffering a large answer and against wrong content."""
    size = 10 << 20
    request = msgspec.structs.replace(
        harness.request('picture', idempotent=True),
        method='GET',
        path=f'/picture?bytes={size}&seed=7',
    )
    longest = 0

    def slow(data: bytes) -> None:
        nonlocal longest
        longest = max(longest, len(data))
        gevent.sleep(0.0001)

    outcome, collected = harness.run(request, CollectedAnswer(on_chunk=slow))
    assert outcome.kind is OutcomeKind.ANSWERED
    expected = hashlib.sha256(b''.join(picture(size, 7))).digest()
    assert hashlib.sha256(collected.content).digest() == expected
    assert longest <= 65_536


def test_stream_outlives_its_deadline(
    harness: EdgeHarness,
) -> None:
    """Guards against a stream that is ended by the deadline of its request."""
    seen = 0

    def disconnect_after_20(_: bytes) -> None:
        nonlocal seen
        seen += 1
        if seen == 20:
            raise ClientGoneError(reason='closed', remedy='none')

    request = msgspec.structs.replace(
        harness.request('s', idempotent=True),
        method='GET',
        path='/stream?ms=60',
        deadline_ms=harness.clock.now_ms() + 1000,
        stream=True,
    )
    outcome, collected = harness.run(
        request, CollectedAnswer(on_chunk=disconnect_after_20)
    )
    assert outcome.reason is Reason.CANCELLED
    assert collected.content.count(b'data:') == 19
    assert harness.pool.busy == 0
