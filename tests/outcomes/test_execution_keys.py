"""Tests that requests with an execution key run at most once."""

from random import Random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.admission import Limits
from anvilthread.clock import ManualClock
from anvilthread.outcomes import Outcome, OutcomeKind, Reason
from anvilthread.outcomes.execution_key import ExecutionKey
from anvilthread.outcomes.execution_record import RECORD_BYTES, ExecutionRecord
from anvilthread.outcomes.execution_table import ExecutionTable
from anvilthread.outcomes.kept_answer import KeptAnswer
from anvilthread.outcomes.key_issuer import KEY_PATH
from anvilthread.outcomes.key_sealer import KeySealer, SealingKeyError
from anvilthread.outcomes.single_answer import SingleAnswer
from standins.collected_answer import CollectedAnswer
from standins.requests import run_request
from standins.virtual_fleet import Exchange, FleetSettings, VirtualFleet

OLD = bytes(range(64))
NEW = bytes(range(64, 128))
KEY = ExecutionKey(
    service=3,
    owner=Address(host='10.0.0.1', port=7000),
    incarnation=1 << 33,
    expires_ms=1 << 40,
    number=5,
)


def _fleet(**options: object) -> VirtualFleet:
    return VirtualFleet(
        settings=FleetSettings(**options)  # type: ignore[arg-type]
    )


def _send(
    fleet: VirtualFleet,
    key: str,
    *,
    agent: int = 0,
    left_ms: int = 3000,
    query: str = '',
    body: bytes = b'',
    name: str = 'x',
    service: int = 1,
) -> Exchange:
    return fleet.agents[agent].send(
        run_request(
            name,
            deadline_ms=fleet.clock.now_ms() + left_ms,
            query=query,
            key=key,
            body=body,
            service=service,
        )
    )


def _told(exchange: Exchange) -> tuple[OutcomeKind, Reason]:
    assert exchange.outcome is not None
    return exchange.outcome.kind, exchange.outcome.reason


def test_sealed_key_survives_rotation() -> None:
    """Guards against keys that a rotation of sealing keys breaks."""
    sealed = KeySealer(keys={1: OLD}, active=1).seal(KEY)
    rotated = KeySealer(keys={1: OLD, 2: NEW}, active=2)
    assert rotated.open(sealed) == KEY
    assert rotated.open(f'"{rotated.seal(KEY)}"') == KEY
    assert KeySealer(keys={2: NEW}, active=2).open(sealed) is None


@settings(derandomize=True, max_examples=300)
@given(st.text(max_size=80), st.integers(0, 10_000))
def test_forged_or_damaged_key_is_not_opened(text: str, place: int) -> None:
    """Guards against keys that clients make up or change."""
    sealer = KeySealer(keys={1: OLD}, active=1)
    sealed = sealer.seal(KEY)
    place %= len(sealed) - 1
    other = 'A' if sealed[place] != 'A' else 'B'
    damaged = sealed[:place] + other + sealed[place + 1 :]
    assert sealer.open(text) is None
    assert sealer.open(damaged) is None


@pytest.mark.parametrize(
    ('keys', 'active'),
    [({1: OLD}, 2), ({1: b'short'}, 1), ({256: OLD}, 256), ({}, 0)],
)
def test_unusable_sealing_keys(keys: dict[int, bytes], active: int) -> None:
    """Guards against an agent that starts with keys it cannot use."""
    with pytest.raises(SealingKeyError):
        KeySealer(keys=keys, active=active)


def test_key_is_issued_for_the_service() -> None:
    """Guards against a key that another service would accept."""
    fleet = _fleet()
    request = msgspec.structs.replace(
        run_request('x', deadline_ms=fleet.clock.now_ms() + 100, service=9),
        method='GET',
        path=KEY_PATH,
    )
    exchange = fleet.agents[0].send(request)
    fleet.clock.advance(1)
    fields = msgspec.json.decode(bytes(exchange.answer.content))
    key = fleet.sealer.open(fields['key'])
    assert key is not None
    assert (key.service, key.number) == (9, 0)
    assert exchange.answer.headers['cache-control'] == 'no-store'


@pytest.mark.parametrize('agents', [(0, 0), (0, 1), (1, 1), (1, 2)])
@pytest.mark.parametrize('gap_ms', [0, 10, 500])
def test_repeats_run_once_and_get_the_same_answer(
    agents: tuple[int, int], gap_ms: int
) -> None:
    """Guards against a second run when a client repeats a request."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    first = _send(fleet, key, agent=agents[0], query='&bytes=50000')
    fleet.clock.advance(gap_ms)
    repeat = _send(fleet, key, agent=agents[1], query='&bytes=50000')
    fleet.clock.advance(1000)
    assert fleet.ledger.starts()['x'] == 1
    for exchange in (first, repeat):
        assert _told(exchange)[0] is OutcomeKind.ANSWERED
        assert exchange.answer.whole
    assert first.answer.content == repeat.answer.content


def test_client_disconnect_does_not_end_the_run() -> None:
    """Guards against a run that ends because a connection breaks."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    first = _send(fleet, key, agent=1, query='&ms=200')
    fleet.clock.advance(50)
    first.request.cancelled.set()
    repeat = _send(fleet, key, agent=2, query='&ms=200')
    fleet.clock.advance(1000)
    assert _told(repeat)[0] is OutcomeKind.ANSWERED
    assert fleet.ledger.outcomes('x') == ['done']


def test_repeat_waits_no_longer_than_its_deadline() -> None:
    """Guards against a repeat that hangs while the first request runs."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    _send(fleet, key, query='&ms=900')
    fleet.clock.advance(10)
    repeat = _send(fleet, key, left_ms=100, query='&ms=900')
    fleet.clock.advance(110)
    assert _told(repeat) == (OutcomeKind.UNKNOWN, Reason.DEADLINE_PASSED)


@pytest.mark.parametrize(
    ('change', 'agent'),
    [
        ({'body': b'other'}, 0),
        ({'body': b'other'}, 1),
        ({'query': '&other=1'}, 0),
    ],
)
def test_different_request_with_a_used_key(
    change: dict[str, object], agent: int
) -> None:
    """Guards against the answer of one request sent for another."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    _send(fleet, key, body=b'first')
    fleet.clock.advance(100)
    values = {'body': b'first', **change}
    other = _send(fleet, key, agent=agent, **values)  # type: ignore[arg-type]
    fleet.clock.advance(100)
    assert _told(other) == (OutcomeKind.NOT_RUN, Reason.KEY_OTHER_REQUEST)
    assert other.answer.failure is not None
    assert other.answer.failure.status == 422
    assert fleet.ledger.starts()['x'] == 1


@pytest.mark.parametrize('agent', [0, 1])
@pytest.mark.parametrize(
    ('wait_ms', 'used', 'expected'),
    [
        (500, False, (OutcomeKind.ANSWERED, Reason.NONE)),
        (1500, False, (OutcomeKind.NOT_RUN, Reason.KEY_EXPIRED)),
        (1500, True, (OutcomeKind.ANSWERED, Reason.NONE)),
        (9000, False, (OutcomeKind.UNKNOWN, Reason.KEY_EXPIRED)),
        (9000, True, (OutcomeKind.UNKNOWN, Reason.KEY_EXPIRED)),
    ],
)
def test_expired_key(
    wait_ms: int,
    used: bool,
    expected: tuple[OutcomeKind, Reason],
    agent: int,
) -> None:
    """Guards against *not run* for an expired key that was used."""
    fleet = _fleet(key_lifetime_ms=1000, retention_ms=2000)
    key = fleet.agents[0].issuer.issue(1)
    if used:
        _send(fleet, key)
    fleet.clock.advance(wait_ms)
    late = _send(fleet, key, agent=agent)
    fleet.clock.advance(200)
    assert _told(late) == expected
    assert fleet.ledger.starts()['x'] <= 1


@pytest.mark.parametrize(
    ('key', 'service', 'reason'),
    [
        ('made-up', 1, Reason.KEY_NOT_ISSUED),
        ('', 1, Reason.KEY_NOT_ISSUED),
        (None, 2, Reason.KEY_OTHER_SERVICE),
    ],
)
def test_key_that_cannot_be_used(
    key: str | None, service: int, reason: Reason
) -> None:
    """Guards against a run under a key that no agent records."""
    fleet = _fleet()
    if key is None:
        key = fleet.agents[0].issuer.issue(1)
    exchange = _send(fleet, key, service=service)
    fleet.clock.advance(100)
    assert _told(exchange) == (OutcomeKind.NOT_RUN, reason)
    assert exchange.outcome is not None
    assert KEY_PATH in exchange.outcome.detail
    assert not fleet.ledger.entries


@pytest.mark.parametrize('restart', [False, True])
@pytest.mark.parametrize('used', [False, True])
def test_owner_gone_is_unknown(restart: bool, used: bool) -> None:
    """Guards against a second run at an agent without a record of the first."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    if used:
        _send(fleet, key)
    fleet.clock.advance(100)
    if restart:
        fleet.restart(0)
    else:
        fleet.agents[0].kill()
    repeats = [_send(fleet, key, agent=1)]
    if restart:
        repeats.append(_send(fleet, key, agent=0))
    fleet.clock.advance(5000)
    for repeat in repeats:
        assert _told(repeat)[0] is OutcomeKind.UNKNOWN
    assert fleet.ledger.starts()['x'] == used


@pytest.mark.parametrize('name', [b'Offer', b'Reserved', b'Run'])
def test_unreachable_owner_is_unknown(name: bytes) -> None:
    """Guards against *not run* for a repeat that its owner never saw."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    _send(fleet, key)
    fleet.clock.advance(100)
    deliver = fleet.network.deliver

    def lossy(sender: Address, receiver: Address, body: bytes) -> None:
        if name not in body:
            deliver(sender, receiver, body)

    fleet.network.deliver = lossy  # type: ignore[method-assign]
    repeat = _send(fleet, key, agent=1)
    fleet.clock.advance(6000)
    assert _told(repeat)[0] is OutcomeKind.UNKNOWN


def test_draining_owner_still_decides() -> None:
    """Guards against keys that stop working when their owner drains."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    fleet.agents[0].drain()
    first = _send(fleet, key)
    fleet.clock.advance(200)
    repeat = _send(fleet, key, agent=1)
    fleet.clock.advance(200)
    assert _told(first)[0] is OutcomeKind.ANSWERED
    assert _told(repeat)[0] is OutcomeKind.ANSWERED
    assert fleet.ledger.starts()['x'] == 1
    assert len(fleet.agents[0].table) == 1


def test_not_run_releases_the_key() -> None:
    """Guards against a key that is used up by a refusal."""
    fleet = _fleet(agents=1)
    key = fleet.agents[0].issuer.issue(1)
    refused = _send(fleet, key, query='&fault=refuse')
    fleet.clock.advance(100)
    again = _send(fleet, key)
    fleet.clock.advance(100)
    assert _told(refused)[0] is OutcomeKind.NOT_RUN
    assert _told(again)[0] is OutcomeKind.ANSWERED


def test_lost_answer_stays_unknown_on_repeat() -> None:
    """Guards against a second run after an answer was lost."""
    fleet = _fleet()
    key = fleet.agents[0].issuer.issue(1)
    for agent in (0, 1):
        exchange = _send(fleet, key, agent=agent, query='&fault=lost')
        fleet.clock.advance(200)
        assert _told(exchange) == (OutcomeKind.UNKNOWN, Reason.ANSWER_LOST)
    assert fleet.ledger.starts()['x'] == 1


def test_eviction_and_full_table() -> None:
    """Guards against a second run, or unbounded memory, in a full table."""
    fleet = _fleet(table_bytes=4 * RECORD_BYTES, limits=Limits(slots=8))
    issuer = fleet.agents[0].issuer
    keys = [issuer.issue(1) for _ in range(5)]
    results = []
    for number, key in enumerate(keys):
        exchange = _send(fleet, key, name=str(number), query='&bytes=100')
        fleet.clock.advance(50)
        results.append(_told(exchange))
        assert fleet.agents[0].table.bytes_used <= 4 * RECORD_BYTES
    assert results[-1] == (OutcomeKind.NOT_RUN, Reason.KEY_TABLE_FULL)
    assert {kind for kind, _ in results[:-1]} == {OutcomeKind.ANSWERED}
    repeat = _send(fleet, keys[0], name='0', query='&bytes=100')
    fleet.clock.advance(50)
    assert _told(repeat) == (OutcomeKind.UNKNOWN, Reason.ANSWER_NOT_KEPT)
    assert max(fleet.ledger.starts().values()) == 1


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(0, 2), st.integers(0, 60)),
        min_size=1,
        max_size=12,
    ),
    st.sampled_from((0, 0.05, 0.3)),
    st.sampled_from((0, 0.3)),
    st.integers(0, 99),
)
def test_racing_repeats_run_once(
    repeats: list[tuple[int, int, int]],
    loss: float,
    copies: float,
    seed: int,
) -> None:
    """Guards against a second run under loss, copies, freezes and races."""
    fleet = _fleet(loss=loss, copies=copies, seed=seed)
    key = fleet.agents[0].issuer.issue(1)
    random = Random(seed)
    exchanges = []
    for agent, frozen, gap_ms in repeats:
        exchanges.append(_send(fleet, key, agent=agent, query='&bytes=5000'))
        if random.random() < 0.3:
            fleet.agents[frozen].clock.freeze(random.randrange(3000))
        fleet.clock.advance(gap_ms)
    fleet.clock.advance(20_000)
    starts = fleet.ledger.starts()['x']
    assert starts <= 1
    answers = {
        bytes(exchange.answer.content)
        for exchange in exchanges
        if exchange.answer.whole
    }
    assert len(answers) <= 1
    for exchange in exchanges:
        kind, _ = _told(exchange)
        assert (kind is OutcomeKind.ANSWERED) == exchange.answer.whole
        if kind is OutcomeKind.ANSWERED:
            assert starts == 1


def test_records_outlive_answers() -> None:
    """Guards against a record that is dropped to keep an answer."""
    clock = ManualClock()
    table = ExecutionTable(
        clock=clock, max_bytes=32 * RECORD_BYTES, retention_ms=100
    )
    for number in range(32):
        record = ExecutionRecord(number=number, digest=b'', expires_ms=50)
        assert table.add(record)
        answer = SingleAnswer(responder=CollectedAnswer())
        kept = KeptAnswer(answer=answer, limit=table.answer_limit)
        kept.head(200, [])
        kept.chunk(bytes(table.answer_limit))
        table.finish(record, Outcome.answered(), kept)
        assert table.bytes_used <= 32 * RECORD_BYTES
    assert len(table) == 32
    full = ExecutionRecord(number=99, digest=b'', expires_ms=50)
    assert not table.add(full)
    clock.advance(151)
    assert table.add(full)
    assert len(table) == 1


def test_key_of_a_missing_sealing_key_is_unknown() -> None:
    """Guards against *not run* for a request that ran at the key's owner."""
    fleet = _fleet()
    newer = KeySealer(keys={200: OLD}, active=200)
    exchange = _send(fleet, newer.seal(KEY))
    fleet.clock.advance(10)
    assert _told(exchange) == (OutcomeKind.UNKNOWN, Reason.KEY_UNREADABLE)
