"""Admission: slots, order, shedding, drain, stop and freeze.

The tests run in virtual time.
"""

from collections import Counter

import gevent
import msgspec
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.admission import Admission, Dispatcher, Limits, RetryBudget
from anvilthread.admission.wait_estimator import WaitEstimator
from anvilthread.clock import ManualClock
from anvilthread.outcomes import (
    Outcome,
    OutcomeKind,
    Reason,
    Request,
    SingleAnswer,
)
from standins.collected_answer import CollectedAnswer
from standins.ledger import Ledger
from standins.requests import run_request
from standins.virtual_target import VirtualTarget


class Agent:
    """One agent without peers, in virtual time."""

    def __init__(self, **limits: int | float | bool) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.ledger = Ledger()
        self.limits = msgspec.convert({'slots': 2, **limits}, Limits)
        self.target = VirtualTarget(
            clock=self.clock, ledger=self.ledger, slots=self.limits.slots
        )
        self.admission = Admission(clock=self.clock, limits=self.limits)
        self.dispatcher = Dispatcher(
            clock=self.clock, admission=self.admission, edge=self.target
        )
        self.outcomes: dict[str, Outcome] = {}

    def send(
        self, identifier: str, left_ms: int = 1000, **options: object
    ) -> Request:
        deadline_ms = self.clock.now_ms() + left_ms
        request = run_request(
            identifier,
            deadline_ms=deadline_ms,
            **options,  # type: ignore[arg-type]
        )
        gevent.spawn(self._run, identifier, request)
        gevent.idle()
        return request

    def started(self) -> list[str]:
        return [
            entry.id
            for entry in self.ledger.entries
            if entry.outcome == 'started'
        ]

    def _run(self, identifier: str, request: Request) -> None:
        answer = SingleAnswer(responder=CollectedAnswer())
        self.outcomes[identifier] = self.dispatcher.run(request, answer)


def test_waiting_requests_start_by_deadline() -> None:
    """Guards against service in arrival order.

    Requests with an early deadline would expire behind others.
    """
    agent = Agent(slots=1)
    for identifier, left_ms in (('a', 900), ('b', 900), ('c', 300), ('d', 600)):
        agent.send(identifier, left_ms)
    assert agent.admission.load.waiting == 3
    agent.clock.advance(200)
    assert agent.started() == ['a', 'c', 'd', 'b']


@pytest.mark.parametrize(
    ('limits', 'sent', 'refused'),
    [({'queue': 3}, 6, 1), ({'queue': 64}, 6, 0), ({'queue': 0}, 3, 1)],
)
def test_queue_is_bounded(
    limits: dict[str, int], sent: int, refused: int
) -> None:
    """Guards against unbounded memory under overload."""
    agent = Agent(**limits)
    for number in range(sent):
        agent.send(str(number))
    reasons = Counter(outcome.reason for outcome in agent.outcomes.values())
    assert reasons[Reason.OVERLOADED] == refused
    agent.clock.advance(1000)
    assert len(agent.started()) == sent - refused


def test_request_that_would_be_late_is_shed() -> None:
    """Guards against queued requests that cannot be answered in time."""
    agent = Agent(slots=1)
    agent.send('first', query='&ms=100')
    agent.clock.advance(100)
    agent.send('second', query='&ms=100')
    agent.send('late', left_ms=150)
    assert agent.outcomes['late'].reason is Reason.OVERLOADED
    assert agent.outcomes['late'].retry_after_ms == 100
    agent.clock.advance(1000)
    assert agent.started() == ['first', 'second']


def test_long_runs_do_not_shed_urgent_requests() -> None:
    """Guards against long runs that cause short requests to be shed."""
    agent = Agent(slots=4)
    for _ in range(2):
        for number in range(4):
            agent.send(f'long{number}', query='&ms=400')
        agent.clock.advance(390)
    agent.send('short', left_ms=500, query='&ms=10')
    agent.clock.advance(500)
    assert agent.outcomes['short'].kind is OutcomeKind.ANSWERED


@pytest.mark.parametrize('freeze', [False, True])
def test_expired_request_never_reaches_the_target(freeze: bool) -> None:
    """Guards against expired requests that run, also after a freeze."""
    agent = Agent(slots=1)
    agent.send('long', query='&ms=400')
    agent.send('short', left_ms=100)
    if freeze:
        agent.clock.skip(450)
        agent.clock.advance(1000)
    else:
        agent.clock.advance(1000)
    assert agent.started() == ['long']
    assert agent.outcomes['short'].kind is OutcomeKind.NOT_RUN
    assert agent.outcomes['short'].reason is Reason.DEADLINE_PASSED


def test_confirmation_frees_a_cancelled_slot() -> None:
    """Guards against a new run while a cancelled one still uses the slot."""
    agent = Agent(slots=1)
    cancelled = agent.send('cancelled', query='&ms=500')
    agent.send('next')
    cancelled.cancelled.set()
    gevent.idle()
    assert agent.outcomes['cancelled'].kind is OutcomeKind.UNKNOWN
    assert agent.started() == ['cancelled']
    agent.clock.advance(100)
    assert agent.started() == ['cancelled', 'next']
    assert agent.target.excess == 0


def test_cancelled_while_waiting_is_not_run() -> None:
    """Guards against the run of a request that its client has cancelled."""
    agent = Agent(slots=1)
    agent.send('busy')
    agent.send('gone').cancelled.set()
    agent.clock.advance(100)
    assert agent.started() == ['busy']
    assert agent.outcomes['gone'].kind is OutcomeKind.NOT_RUN


def test_drain_finishes_runs_and_refuses_the_rest() -> None:
    """Guards against new requests on a draining target and lost runs."""
    agent = Agent(slots=1)
    agent.send('runs', query='&ms=200')
    agent.send('waits')
    agent.admission.drain()
    agent.send('late')
    agent.clock.advance(500)
    assert agent.started() == ['runs']
    assert agent.outcomes['runs'].kind is OutcomeKind.ANSWERED
    for identifier in ('waits', 'late'):
        outcome = agent.outcomes[identifier]
        assert outcome.kind is OutcomeKind.NOT_RUN
        assert outcome.reason is Reason.DRAINING
        assert outcome.retry_after_ms is not None


@pytest.mark.parametrize(
    ('run_ms', 'kind', 'interrupted'),
    [(200, OutcomeKind.ANSWERED, 0), (5000, OutcomeKind.UNKNOWN, 1)],
)
def test_stop_interrupts_only_after_its_deadline(
    run_ms: int, kind: OutcomeKind, interrupted: int
) -> None:
    """Guards against a planned stop that loses runs or does not end."""
    agent = Agent(slots=1, stop_ms=1000)
    agent.send('runs', left_ms=9000, query=f'&ms={run_ms}')
    stop = gevent.spawn(agent.admission.stop)
    agent.clock.advance(1100)
    assert stop.get(block=False) == interrupted
    assert agent.outcomes['runs'].kind is kind
    if interrupted:
        assert agent.outcomes['runs'].reason is Reason.STOPPED


def test_streams_have_their_own_limit() -> None:
    """Guards against streams that starve requests or exceed their limit."""
    agent = Agent(slots=1, streams=2)
    for number in range(3):
        agent.send(f's{number}', query='&ms=5000', stream=True)
    agent.send('request')
    assert agent.admission.load == msgspec.structs.replace(
        agent.admission.load, busy=1, streams=2
    )
    assert agent.outcomes['s2'].reason is Reason.TOO_MANY_STREAMS


def test_streams_take_slots_if_set() -> None:
    """Guards against a target overloaded by streams."""
    agent = Agent(slots=1, streams_take_slots=True)
    agent.send('stream', query='&ms=300', stream=True)
    agent.send('request')
    assert agent.admission.load.busy == 1
    assert agent.admission.load.waiting == 1


def test_refusing_target_is_paused_and_probed() -> None:
    """Guards against an agent that fails many requests on a failed target.

    After the pause, one request probes the target before the others run.
    """
    agent = Agent(slots=2, pause_ms=500)
    agent.target.kill()
    agent.send('first')
    agent.send('during')
    assert agent.outcomes['first'].reason is Reason.TARGET_UNAVAILABLE
    assert agent.outcomes['during'].reason is Reason.TARGET_UNAVAILABLE
    agent.target.revive()
    agent.clock.advance(501)
    for number in range(3):
        agent.send(f'probe{number}', query='&ms=50')
    assert agent.started() == ['probe0']
    agent.clock.advance(500)
    assert sorted(agent.started()) == ['probe0', 'probe1', 'probe2']


def test_broken_connection_holds_waiting_requests_back() -> None:
    """Guards against waiting requests sent to a terminating target."""
    agent = Agent(slots=1, doubt_ms=100)
    agent.send('first', query='&ms=50&fault=lost')
    agent.send('waiting', query='&ms=50')
    agent.clock.advance(60)
    assert agent.outcomes['first'].reason is Reason.ANSWER_LOST
    assert agent.started() == ['first']
    agent.clock.advance(200)
    assert agent.outcomes['waiting'].kind is OutcomeKind.ANSWERED


def test_expired_offer_gets_no_slot() -> None:
    """Guards against a slot reserved for an expired request."""
    agent = Agent(slots=1)
    waiters = [
        agent.admission.enter(
            deadline_ms=1000 + left_ms,
            stream=False,
            is_local=False,
            wake=Event(),
        ).unwrap()
        for left_ms in (900, 100, 800)
    ]
    agent.clock.skip(200)
    agent.admission.leave(waiters[0])
    assert waiters[1].slot is None
    assert waiters[1].refusal is not None
    assert waiters[2].slot is not None


@pytest.mark.parametrize(
    ('fault', 'kind', 'reason', 'runs'),
    [
        ('lost', OutcomeKind.UNKNOWN, Reason.ANSWER_LOST, ['x']),
        ('refuse', OutcomeKind.NOT_RUN, Reason.TARGET_REFUSED, []),
    ],
)
def test_failed_retry_keeps_the_first_outcome(
    fault: str, kind: OutcomeKind, reason: Reason, runs: list[str]
) -> None:
    """Guards against *not run* after a lost run and a misleading reason.

    The first attempt fails, and no retry finds a place.
    """
    agent = Agent(slots=1, retry_ratio=1)
    agent.send('x', idempotent=True, query=f'&fault={fault}')
    agent.clock.advance(500)
    assert agent.started() == runs
    assert agent.dispatcher.budget.retries == 1
    assert agent.outcomes['x'].kind is kind
    assert agent.outcomes['x'].reason is reason


@pytest.mark.parametrize('ratio', [0, 0.1, 0.5])
def test_retry_budget_holds_from_the_start(ratio: float) -> None:
    """Guards against retries that amplify an outage."""
    budget = RetryBudget(ratio=ratio)
    for _ in range(1000):
        budget.record()
        budget.take()
        assert budget.retries <= ratio * budget.requests + 1e-6
    assert budget.retries == ratio * 1000


def test_accumulated_retries_are_bounded() -> None:
    """Guards against a burst of retries after a long time without failures."""
    budget = RetryBudget(ratio=0.1, burst=10)
    for _ in range(10_000):
        budget.record()
    assert sum(budget.take() for _ in range(100)) == 10


def test_estimate_counts_starts_at_other_agents() -> None:
    """Guards against shedding while idle peers run the requests."""
    clock = ManualClock()
    estimator = WaitEstimator(clock=clock, slots=1)
    estimator.record_run(100)
    alone_ms = estimator.wait_ms(9)
    for _ in range(50):
        estimator.record_start()
    assert alone_ms == 1000
    assert estimator.wait_ms(9) == 200


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(('send', 'cancel', 'advance', 'freeze', 'drain')),
            st.integers(0, 120),
        ),
        max_size=40,
    ),
    st.integers(1, 3),
)
def test_any_interleaving_keeps_the_promises(
    steps: list[tuple[str, int]], slots: int
) -> None:
    """Guards against excess runs, lost outcomes and false *not run*."""
    agent = Agent(slots=slots, queue=5)
    requests: list[Request] = []

    def send(number: int) -> None:
        query = f'&ms={number}'
        name = str(len(requests))
        requests.append(agent.send(name, left_ms=150, query=query))

    def cancel(number: int) -> None:
        if requests:
            requests[number % len(requests)].cancelled.set()

    def drain(number: int) -> None:
        if number > 90:
            agent.admission.drain()

    actions = {
        'send': send,
        'cancel': cancel,
        'advance': agent.clock.advance,
        'freeze': agent.clock.skip,
        'drain': drain,
    }
    for action, number in steps:
        actions[action](number)
    agent.clock.advance(1000)
    starts = agent.ledger.starts()
    assert agent.target.excess == 0
    assert agent.admission.load.busy == 0
    assert agent.admission.load.waiting == 0
    assert len(agent.outcomes) == len(requests)
    for name, outcome in agent.outcomes.items():
        ran = outcome.kind is not OutcomeKind.NOT_RUN
        assert starts[name] == ran


def test_waiter_of_a_killed_task_leaves_the_queue() -> None:
    """Guards against a slot granted to a killed task."""
    agent = Agent(slots=1)
    agent.send('busy')
    request = run_request('killed', deadline_ms=agent.clock.now_ms() + 900)
    answer = SingleAnswer(responder=CollectedAnswer())
    task = gevent.spawn(agent.dispatcher.run, request, answer)
    gevent.idle()
    assert agent.admission.load.waiting == 1
    task.kill()
    agent.clock.advance(100)
    assert agent.started() == ['busy']
    assert agent.admission.load.busy == 0


def test_load_counts_offers_as_busy_only() -> None:
    """Guards against load reports that count a request on two agents."""
    agent = Agent(slots=1)
    for _ in range(2):
        agent.admission.enter(
            deadline_ms=2000, stream=False, is_local=False, wake=Event()
        ).unwrap()
    assert agent.admission.load.busy == 1
    assert agent.admission.load.waiting == 0
