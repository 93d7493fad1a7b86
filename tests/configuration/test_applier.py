"""Applying changes: lost answers, concurrent operators, restored backups."""

import gevent
import pytest
from syrupy.assertion import SnapshotAssertion

from anvilthread.configuration import (
    STORE_KEY,
    Applied,
    ApplyConflict,
    ApplyRefused,
    ApplyStoreBehind,
    ApplyUnavailable,
    ApplyUnknown,
    ConfigurationTexts,
    InvalidConfigurationError,
    Proposal,
    decode_record,
    describe_history,
)
from anvilthread.configuration.record import HISTORY_LENGTH
from anvilthread.store import CallKind
from standins.configuration_fleet import Fleet, proposal, texts
from standins.store_state import StoreFaults


@pytest.fixture
def fleet() -> Fleet:
    """A store and no nodes."""
    return Fleet(size=0)


def _stored_changes(fleet: Fleet) -> list[str]:
    record = decode_record(fleet.state.read(STORE_KEY).value).unwrap()
    return [change.change_id for change in record.changes]


@pytest.mark.parametrize(
    'faults',
    [
        StoreFaults(lost_answers=1),
        StoreFaults(lost_answers=3),
        StoreFaults(lost_requests=1),
        StoreFaults(lost_requests=2, lost_answers=1),
        StoreFaults(delay_ms=1500),
    ],
)
def test_lost_answers_are_resolved(fleet: Fleet, faults: StoreFaults) -> None:
    """Guards against a change that is lost or applied twice."""
    fleet.apply(proposal()).unwrap()
    fleet.state.faults = faults
    outcome = fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    assert (outcome.revision, outcome.is_new) == (2, True)
    assert _stored_changes(fleet) == ['ama-1000', 'ama-2']


def test_lost_answer_followed_by_a_later_change(fleet: Fleet) -> None:
    """Guards against reporting a change as lost after a later change."""
    fleet.apply(proposal()).unwrap()
    fleet.state.faults.lost_answers = 1
    first = gevent.spawn(
        fleet.applier.apply, proposal(deadline_ms=2, expected=1)
    )
    fleet.clock.advance(500)
    second = fleet.applier
    later = gevent.spawn(
        second.apply, proposal(deadline_ms=3, expected=2, operator='kofi')
    )
    fleet.clock.advance(60_000)
    assert later.value.unwrap().revision == 3
    outcome = first.value.unwrap()
    assert (outcome.revision, outcome.record.revision) == (2, 3)
    assert _stored_changes(fleet) == ['ama-1000', 'ama-2', 'kofi-3']


def test_two_operators_at_once(
    fleet: Fleet, snapshot: SnapshotAssertion
) -> None:
    """Guards against silently overwriting another operator's change."""
    fleet.apply(proposal()).unwrap()
    fleet.state.faults.delay_ms = 20
    tasks = [
        gevent.spawn(
            fleet.applier.apply,
            proposal(deadline_ms=number, expected=1, operator=operator),
        )
        for number, operator in ((2, 'ama'), (3, 'kofi'))
    ]
    fleet.clock.advance(60_000)
    assert isinstance(tasks[0].value.unwrap(), Applied)
    error = tasks[1].value.unwrap_err()
    assert isinstance(error, ApplyConflict)
    assert error.found == 2
    assert str(error) == snapshot
    assert error.difference == snapshot


def test_same_apply_twice_is_one_change(fleet: Fleet) -> None:
    """Guards against a repeated command that counts as a second change."""
    first = fleet.apply(proposal()).unwrap()
    again = fleet.apply(proposal()).unwrap()
    other_id = fleet.apply(proposal(operator='kofi')).unwrap()
    assert [first.is_new, again.is_new, other_id.is_new] == [
        True,
        False,
        False,
    ]
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    assert fleet.apply(proposal()).unwrap().revision == 1
    assert _stored_changes(fleet) == ['ama-1000', 'ama-2']


@pytest.mark.parametrize(
    ('faults', 'expected'),
    [
        (StoreFaults(outage=True), ApplyUnavailable),
        (StoreFaults(lost_requests=99), ApplyUnknown),
    ],
)
def test_failed_apply_reports_what_is_known(
    fleet: Fleet,
    faults: StoreFaults,
    expected: type[Exception],
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against claiming that nothing changed when that is unknown."""
    fleet.state.faults = faults
    error = fleet.apply(proposal()).unwrap_err()
    assert isinstance(error, expected)
    assert str(error) == snapshot


def test_restored_backup_is_detected(
    fleet: Fleet, snapshot: SnapshotAssertion
) -> None:
    """Guards against a change based on an old record, which nodes ignore.

    The nodes are cut off from the store, and cannot write their record back.
    """
    fleet.apply(proposal()).unwrap()
    old = fleet.state.read(STORE_KEY).value
    node = fleet.add()
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.clock.advance(1000)
    for store in fleet.stores.values():
        store.reachable = False
    fleet.state.restore(STORE_KEY, old)
    fleet.clock.advance(30_000)
    assert node.revision == 2
    refused = fleet.apply(proposal(deadline_ms=3, expected=1)).unwrap_err()
    assert isinstance(refused, ApplyStoreBehind)
    assert str(refused) == snapshot
    assert node.record is not None
    assert fleet.applier.restore(node.record).is_ok()
    outcome = fleet.apply(proposal(deadline_ms=3, expected=2))
    assert outcome.unwrap().revision == 3


@pytest.mark.parametrize('has_guard_key', [False, True])
def test_record_that_was_written_alone_is_replaced(
    fleet: Fleet, has_guard_key: bool
) -> None:
    """Guards against a store that no change can be applied to any more.

    Earlier releases wrote the record without a guard key, and an operator may
    write a saved record by hand.
    """
    empty = fleet.state.save_copy()
    fleet.apply(proposal()).unwrap()
    record = fleet.state.read(STORE_KEY).value
    if not has_guard_key:
        fleet.state.restore_copy(empty)
    fleet.state.restore(STORE_KEY, record)
    for revision in (2, 3):
        change = proposal(deadline_ms=revision, expected=revision - 1)
        assert fleet.apply(change).unwrap().revision == revision


def test_older_answers_do_not_fork_the_history(fleet: Fleet) -> None:
    """Guards against a change based on data that the store has replaced."""
    fleet.apply(proposal()).unwrap()
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    fleet.state.faults.older_by = 1
    forked = fleet.apply(proposal(deadline_ms=3, expected=1)).unwrap_err()
    assert isinstance(forked, ApplyUnavailable)
    fleet.state.faults.older_by = 0
    assert _stored_changes(fleet) == ['ama-1000', 'ama-2']


def test_change_that_does_not_fit_is_refused(fleet: Fleet) -> None:
    """Guards against a value that the store would truncate or refuse."""
    noise = fleet.random.randbytes(2 * 1024 * 1024).hex()
    big = ConfigurationTexts(base=f'# {noise}\n{texts().base}', overlays={})
    refused = fleet.apply(
        Proposal(texts=big, expected=0, change_id='big', operator='ama')
    ).unwrap_err()
    assert isinstance(refused, ApplyRefused)
    assert 'more than 1048576' in refused.reason
    assert fleet.state.total(CallKind.WRITE) == 0


def test_invalid_files_never_reach_the_store(fleet: Fleet) -> None:
    """Guards against an invalid configuration that reaches the nodes."""
    bad = ConfigurationTexts(base='x = 1', overlays={})
    refused = fleet.apply(
        Proposal(texts=bad, expected=0, change_id='bad', operator='ama')
    ).unwrap_err()
    assert isinstance(refused, InvalidConfigurationError)
    assert len(refused.problems) == 3
    assert not fleet.state.calls


def test_history_is_bounded_and_readable(
    fleet: Fleet, snapshot: SnapshotAssertion
) -> None:
    """Guards against a record that grows with every change."""
    for number in range(HISTORY_LENGTH + 5):
        change = proposal(deadline_ms=number + 1, expected=number)
        record = fleet.apply(change).unwrap().record
    assert len(record.changes) == HISTORY_LENGTH + 1
    assert describe_history(record).splitlines()[:2] == snapshot
