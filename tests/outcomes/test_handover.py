"""Handover between agents, checked against the ledger of the targets."""

from collections.abc import Callable

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.admission import Limits
from anvilthread.outcomes import OutcomeKind, Reason, Request
from standins.collected_answer import CollectedAnswer
from standins.requests import run_request
from standins.virtual_fleet import Exchange, FleetSettings, VirtualFleet
from standins.virtual_target import answer_content

ONE_SLOT = Limits(slots=1)


def _fleet(**options: object) -> VirtualFleet:
    values = {'agents': 2, 'limits': ONE_SLOT, **options}
    return VirtualFleet(
        settings=FleetSettings(**values)  # type: ignore[arg-type]
    )


def _request(
    fleet: VirtualFleet, identifier: str, left_ms: int = 3000, **options: object
) -> Request:
    return run_request(
        identifier,
        deadline_ms=fleet.clock.now_ms() + left_ms,
        **options,  # type: ignore[arg-type]
    )


def _identifier(exchange: Exchange) -> str:
    path = exchange.request.path
    return path.split('id=')[1].split('&')[0]


def _size(exchange: Exchange) -> int:
    _, separator, rest = exchange.request.path.partition('bytes=')
    return int(rest.split('&')[0]) if separator else 0


def judge(fleet: VirtualFleet, exchanges: list[Exchange]) -> None:
    """Compares the outcomes that clients got with the runs of the targets."""
    starts = fleet.ledger.starts()
    for exchange in exchanges:
        name = _identifier(exchange)
        outcome = exchange.outcome
        assert outcome is not None, name
        if not exchange.request.idempotent:
            assert starts[name] <= 1
        if outcome.kind is OutcomeKind.NOT_RUN:
            assert starts[name] == 0
        if outcome.kind is OutcomeKind.ANSWERED:
            expected = answer_content(name, _size(exchange))
            assert starts[name] >= 1
            assert exchange.answer.whole
            assert bytes(exchange.answer.content) == expected
        else:
            assert exchange.answer.failure == outcome
    assert all(agent.target.excess == 0 for agent in fleet.agents)
    alive = [agent for agent in fleet.agents if agent.target.alive]
    assert all(agent.admission.load.busy == 0 for agent in alive)


def _fill_slot(fleet: VirtualFleet, run_ms: int = 1000) -> Exchange:
    """Fills the only slot of the first agent."""
    exchange = fleet.agents[0].send(
        _request(fleet, 'busy', query=f'&ms={run_ms}')
    )
    fleet.clock.advance(1)
    return exchange


@pytest.mark.parametrize('size', [0, 100, 3_000_000])
def test_waiting_request_runs_at_an_idle_agent(size: int) -> None:
    """Guards against waiting despite an idle target, and truncated answers."""
    fleet = _fleet()
    busy = _fill_slot(fleet, 5000)
    handed = fleet.agents[0].send(
        _request(fleet, 'handed', query=f'&bytes={size}', body=b'x' * 200_000)
    )
    fleet.clock.advance(2900)
    assert handed.outcome is not None
    assert handed.outcome.kind is OutcomeKind.ANSWERED
    fleet.clock.advance(9000)
    judge(fleet, [busy, handed])


@pytest.mark.parametrize('seed', [1, 2, 3, 4])
def test_offers_widen_when_reports_are_old(seed: int) -> None:
    """Guards against an idle target that an old load report hides."""
    fleet = _fleet(agents=7, report_ms=1_000_000, seed=seed)
    fleet.peers_of(fleet.agents[0])
    exchanges = [
        agent.send(_request(fleet, str(number), query='&ms=500'))
        for number, agent in enumerate(fleet.agents[:6])
    ]
    fleet.clock.advance(1)
    handed = fleet.agents[0].send(_request(fleet, 'handed'))
    fleet.clock.advance(10)
    assert fleet.ledger.starts()['handed'] == 1
    fleet.clock.advance(5000)
    judge(fleet, [*exchanges, handed])


def test_slow_client_throttles_the_sender() -> None:
    """Guards against an agent that buffers a whole answer of a peer."""
    fleet = _fleet()
    _fill_slot(fleet, 60_000)
    received = 0

    def slow(data: bytes) -> None:
        nonlocal received
        received += len(data)
        fleet.clock.sleep_ms(100)

    size = 10 << 20
    fleet.agents[0].send(
        _request(fleet, 'big', left_ms=60_000, query=f'&bytes={size}'),
        CollectedAnswer(on_chunk=slow),
    )
    fleet.clock.advance(1000)
    sent = fleet.network.bytes_sent
    assert received < 1_000_000
    assert sent < received + 1_500_000
    fleet.clock.advance(120_000)
    assert received > 10 << 20


@pytest.mark.parametrize('stream', [False, True])
def test_drain_hands_over_waiting_and_new_requests(stream: bool) -> None:
    """Guards against a draining target that starts or loses requests."""
    fleet = _fleet(limits=Limits(slots=1, streams=1))
    busy = _fill_slot(fleet, 300)
    waits = fleet.agents[0].send(_request(fleet, 'waits'))
    fleet.clock.advance(1)
    fleet.agents[0].drain()
    arrives = fleet.agents[0].send(
        _request(fleet, 'arrives', stream=stream, query='&ms=50')
    )
    fleet.clock.advance(2000)
    exchanges = [busy, waits, arrives]
    judge(fleet, exchanges)
    kinds = {
        exchange.outcome.kind for exchange in exchanges if exchange.outcome
    }
    assert kinds == {OutcomeKind.ANSWERED}


@pytest.mark.parametrize('idempotent', [False, True])
@pytest.mark.parametrize(
    ('at_ms', 'not_run'), [(0, True), (10, False), (60, False)]
)
def test_peer_killed_before_and_during_the_run(
    at_ms: int, not_run: bool, idempotent: bool
) -> None:
    """Guards against *not run* or a second run when the peer is killed."""
    fleet = _fleet(agents=3, limits=Limits(slots=1, retry_ratio=1))
    busy = _fill_slot(fleet)
    fleet.agents[2].listed = False
    handed = fleet.agents[0].send(
        _request(fleet, 'handed', query='&ms=50', idempotent=idempotent)
    )
    fleet.clock.advance(at_ms)
    fleet.agents[1].kill()
    fleet.agents[2].listed = True
    fleet.clock.advance(9000)
    judge(fleet, [busy, handed])
    assert handed.outcome is not None
    if idempotent or not_run or at_ms == 60:
        assert handed.outcome.kind is OutcomeKind.ANSWERED
    else:
        assert handed.outcome.kind is OutcomeKind.UNKNOWN


def _record_packets(fleet: VirtualFleet) -> list[tuple[int, bytes]]:
    """Keeps every packet with the position of its receiver."""
    packets: list[tuple[int, bytes]] = []
    deliver = fleet.network.deliver

    def recorded(sender: Address, receiver: Address, body: bytes) -> None:
        packets.append((int(receiver.host.rpartition('.')[2]) - 1, body))
        deliver(sender, receiver, body)

    fleet.network.deliver = recorded  # type: ignore[method-assign]
    return packets


@pytest.mark.parametrize('ended', [False, True])
def test_late_duplicates_at_a_restarted_peer(ended: bool) -> None:
    """Guards against a second run or *not run* due to late duplicates."""
    fleet = _fleet()
    packets = _record_packets(fleet)
    busy = _fill_slot(fleet, 200)
    run_ms = 10 if ended else 900
    handed = fleet.agents[0].send(
        _request(fleet, 'handed', query=f'&ms={run_ms}')
    )
    fleet.clock.advance(20)
    fleet.restart(1)
    sender = fleet.agents[0].identity.address
    receiver = fleet.agents[1].identity.address
    for position, body in list(packets):
        if position == 1:
            fleet.network.deliver(sender, receiver, body)
            fleet.clock.advance(1)
    fleet.clock.advance(12_000)
    judge(fleet, [busy, handed])
    assert fleet.ledger.starts()['handed'] == 1
    assert handed.outcome is not None
    expected = OutcomeKind.ANSWERED if ended else OutcomeKind.UNKNOWN
    assert handed.outcome.kind is expected


@pytest.mark.parametrize(
    ('left_ms', 'freeze_ms'), [(300, 400), (1500, 700), (1500, 4000)]
)
@pytest.mark.parametrize('frozen', [0, 1])
@pytest.mark.parametrize('at_ms', [0, 0.5, 1, 1.5, 2, 3, 30])
def test_freeze_of_an_agent(
    frozen: int, left_ms: int, freeze_ms: int, at_ms: float
) -> None:
    """Guards against expired or second runs after a freeze."""
    fleet = _fleet()
    busy = _fill_slot(fleet, 100)
    handed = fleet.agents[0].send(
        _request(fleet, 'handed', left_ms=left_ms, query='&ms=40')
    )
    fleet.clock.advance(at_ms)
    fleet.agents[frozen].clock.freeze(freeze_ms)
    fleet.clock.advance(12_000)
    judge(fleet, [busy, handed])
    assert handed.outcome is not None
    for entry in fleet.ledger.entries:
        assert entry.started < handed.request.deadline_ms


@pytest.mark.parametrize('run_ms', [40, 300, 700, 1200, 1600])
@pytest.mark.parametrize('at_ms', [10, 30, 480, 499, 505])
def test_answer_that_arrives_during_a_freeze(run_ms: int, at_ms: int) -> None:
    """Guards against an answer that is dropped because of a local freeze."""
    fleet = _fleet()
    busy = _fill_slot(fleet, 100)
    handed = fleet.agents[0].send(
        _request(fleet, 'handed', left_ms=9000, query=f'&ms={run_ms}')
    )
    fleet.clock.advance(at_ms)
    fleet.agents[0].clock.freeze(2600)
    fleet.clock.advance(12_000)
    judge(fleet, [busy, handed])
    assert handed.outcome is not None
    assert handed.outcome.kind is OutcomeKind.ANSWERED


def test_long_run_at_a_peer_does_not_time_out() -> None:
    """Guards against a long run that counts as lost."""
    fleet = _fleet()
    busy = _fill_slot(fleet, 8000)
    handed = fleet.agents[0].send(
        _request(fleet, 'handed', left_ms=9000, query='&ms=5000')
    )
    fleet.clock.advance(20_000)
    judge(fleet, [busy, handed])
    assert handed.outcome is not None
    assert handed.outcome.kind is OutcomeKind.ANSWERED


def test_restarted_peer_is_detected_immediately() -> None:
    """Guards against a client that waits for an answer that cannot arrive."""
    fleet = _fleet()
    _fill_slot(fleet, 8000)
    handed = fleet.agents[0].send(_request(fleet, 'handed', query='&ms=2000'))
    fleet.clock.advance(20)
    fleet.restart(1)
    fleet.clock.advance(700)
    assert handed.outcome is not None
    assert handed.outcome.reason is Reason.PEER_UNREACHABLE


def test_offer_is_withdrawn_when_the_request_runs() -> None:
    """Guards against slots reserved for requests that run elsewhere."""
    fleet = _fleet()
    _fill_slot(fleet, 50)
    fleet.agents[1].send(_request(fleet, 'other', query='&ms=100'))
    fleet.clock.advance(1)
    fleet.agents[0].send(_request(fleet, 'local', query='&ms=500'))
    while not fleet.ledger.outcomes('other'):
        fleet.clock.advance(0.1)
    assert fleet.agents[0].admission.load.busy == 1
    assert fleet.agents[1].admission.load.busy == 0


def drop_packets(
    fleet: VirtualFleet, lost: Callable[[bytes], bool], copies: int
) -> None:
    """Drops the first packets that meet a condition."""
    left = copies
    deliver = fleet.network.deliver

    def lossy(sender: Address, receiver: Address, body: bytes) -> None:
        nonlocal left
        if lost(body) and left:
            left -= 1
            return
        deliver(sender, receiver, body)

    fleet.network.deliver = lossy  # type: ignore[method-assign]


def _is_run(payload: bytes) -> bool:
    return b'Run' in payload


def _is_reservation(payload: bytes) -> bool:
    return b'Reserved' in payload


def _is_end(payload: bytes) -> bool:
    return b'End' in payload


@pytest.mark.parametrize(
    ('lost', 'copies', 'kind'),
    [
        (_is_reservation, 3, OutcomeKind.ANSWERED),
        (_is_run, 3, OutcomeKind.ANSWERED),
        (_is_end, 3, OutcomeKind.ANSWERED),
        # The place expires and the request runs at its own agent.
        (_is_reservation, 10_000, OutcomeKind.ANSWERED),
        (_is_run, 10_000, OutcomeKind.NOT_RUN),
        (_is_end, 10_000, OutcomeKind.UNKNOWN),
    ],
)
def test_lost_messages_end_in_a_definite_outcome(
    lost: Callable[[bytes], bool],
    copies: int,
    kind: OutcomeKind,
) -> None:
    """Guards against a second run or a wrong outcome after a loss."""
    fleet = _fleet()
    drop_packets(fleet, lost, copies)
    busy = _fill_slot(fleet, 1000)
    handed = fleet.agents[0].send(_request(fleet, 'handed', left_ms=2500))
    fleet.clock.advance(12_000)
    judge(fleet, [busy, handed])
    assert handed.outcome is not None
    assert handed.outcome.kind is kind


def test_stop_waits_for_requests_at_other_agents() -> None:
    """Guards against a stop that truncates an answer from another agent."""
    fleet = _fleet(limits=Limits(slots=1, stop_ms=1500))
    busy = _fill_slot(fleet, 100)
    answered = fleet.agents[0].send(_request(fleet, 'a', query='&ms=1200'))
    fleet.clock.advance(200)
    cut = fleet.agents[0].send(_request(fleet, 'b', query='&ms=1900'))
    fleet.clock.advance(10)
    stop = gevent.spawn(fleet.agents[0].admission.stop)
    fleet.clock.advance(1400)
    assert not stop.ready()
    assert answered.outcome is not None
    assert answered.outcome.kind is OutcomeKind.ANSWERED
    fleet.clock.advance(200)
    assert stop.get(block=False) == 1
    assert cut.outcome is not None
    assert cut.outcome.reason is Reason.STOPPED
    fleet.clock.advance(5000)
    judge(fleet, [busy, answered, cut])


def test_reservation_without_a_run_expires() -> None:
    """Guards against a slot held for an agent that has gone."""
    fleet = _fleet()
    busy = _fill_slot(fleet)
    fleet.agents[0].send(_request(fleet, 'lost'))
    fleet.clock.advance(0.3)
    fleet.agents[0].kill()
    fleet.clock.advance(20)
    assert fleet.agents[1].admission.load.busy == 1
    fleet.clock.advance(600)
    assert fleet.agents[1].admission.load.busy == 0
    assert fleet.ledger.starts()['lost'] == 0
    assert busy.outcome is None


def test_cancel_ends_the_run_at_the_peer() -> None:
    """Guards against a run that continues for a client that has cancelled."""
    fleet = _fleet()
    busy = _fill_slot(fleet)
    handed = fleet.agents[0].send(_request(fleet, 'handed', query='&ms=900'))
    fleet.clock.advance(50)
    handed.request.cancelled.set()
    fleet.clock.advance(50)
    assert handed.outcome is not None
    assert handed.outcome.reason is Reason.CANCELLED
    assert fleet.ledger.outcomes('handed') == ['cancelled']
    fleet.clock.advance(2000)
    judge(fleet, [busy, handed])


def test_handed_over_stream_outlives_its_deadline() -> None:
    """Guards against a stream that ends because its agent was full."""
    fleet = _fleet(limits=Limits(slots=1, streams=1))
    first = fleet.agents[0].send(
        _request(fleet, 'first', 500, stream=True, query='&ms=9000')
    )
    fleet.clock.advance(1)
    second = fleet.agents[0].send(
        _request(fleet, 'second', 500, stream=True, query='&ms=200')
    )
    fleet.clock.advance(400)
    assert second.outcome is not None
    assert second.outcome.kind is OutcomeKind.ANSWERED
    assert fleet.agents[1].admission.load.streams == 0
    fleet.clock.advance(9000)
    judge(fleet, [first, second])


def test_retry_runs_elsewhere_within_the_budget() -> None:
    """Guards against retries beyond 10% when a target refuses."""
    fleet = _fleet(agents=2, limits=Limits(slots=2))
    exchanges = []
    for number in range(100):
        fault = '&fault=refuse' if number % 2 else ''
        request = _request(fleet, str(number), query=f'&ms=5{fault}')
        exchanges.append(fleet.agents[0].send(request))
        fleet.clock.advance(50)
    judge(fleet, exchanges)
    budget = fleet.agents[0].dispatcher.budget
    assert 5 <= budget.retries <= 10


def test_refused_retry_does_not_hide_a_lost_run() -> None:
    """Guards against *not run* when the second of two runs was refused."""
    fleet = _fleet(limits=Limits(slots=1, retry_ratio=1))
    fleet.agents[1].target.kill()
    exchange = fleet.agents[0].send(
        _request(fleet, 'x', idempotent=True, query='&fault=lost')
    )
    fleet.clock.advance(3000)
    assert fleet.agents[0].dispatcher.budget.retries == 1
    assert fleet.ledger.starts()['x'] == 1
    assert exchange.outcome is not None
    assert exchange.outcome.kind is OutcomeKind.UNKNOWN


class Script:
    """Faults and requests in the order that hypothesis chooses."""

    def __init__(self, fleet: VirtualFleet) -> None:
        self.fleet = fleet
        self.exchanges: list[Exchange] = []
        self.killed: set[int] = set()

    def send(self, agent: int, number: int) -> None:
        if agent in self.killed:
            return
        fault = ('', '', '&fault=lost', '&fault=cut', '&fault=refuse')
        query = f'&ms={number}&bytes={number * 300}{fault[number % 5]}'
        request = _request(
            self.fleet,
            str(len(self.exchanges)),
            left_ms=400 + number,
            query=query,
            idempotent=number % 3 == 0,
        )
        self.exchanges.append(self.fleet.agents[agent].send(request))

    def cancel(self, agent: int, number: int) -> None:
        if self.exchanges:
            position = number % len(self.exchanges)
            self.exchanges[position].request.cancelled.set()

    def advance(self, agent: int, number: int) -> None:
        self.fleet.clock.advance(number)

    def freeze(self, agent: int, number: int) -> None:
        self.fleet.agents[agent].clock.freeze(number * 10)

    def kill(self, agent: int, number: int) -> None:
        if number > 200 and not self.killed:
            self.killed.add(agent)
            self.fleet.agents[agent].kill()

    def drain(self, agent: int, number: int) -> None:
        if number > 200:
            self.fleet.agents[agent].drain()


STEP = st.tuples(
    st.sampled_from(
        ('send', 'send', 'send', 'cancel', 'advance', 'freeze', 'kill', 'drain')
    ),
    st.integers(0, 2),
    st.integers(0, 300),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(STEP, max_size=25),
    st.sampled_from((0, 0.02, 0.3)),
    st.sampled_from((0, 0.3)),
    st.integers(0, 1000),
)
def test_any_interleaving_of_faults(
    steps: list[tuple[str, int, int]], loss: float, copies: float, seed: int
) -> None:
    """Guards against double runs, false *not run* and cut answers."""
    script = Script(_fleet(agents=3, loss=loss, copies=copies, seed=seed))
    for action, agent, number in steps:
        getattr(script, action)(agent, number)
    script.fleet.clock.advance(30_000)
    told = [
        exchange
        for exchange in script.exchanges
        if exchange.outcome is not None
    ]
    # Only the clients of a killed agent get no outcome.
    assert script.killed or len(told) == len(script.exchanges)
    judge(script.fleet, told)
    starts = script.fleet.ledger.starts()
    for exchange in script.exchanges:
        runs = starts[_identifier(exchange)]
        assert runs <= 1 or exchange.request.idempotent
