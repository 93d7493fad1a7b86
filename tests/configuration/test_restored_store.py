"""A store that comes back from an older copy, in virtual time.

What it has acknowledged since the copy is gone, and its indexes go back and
are given out again.
"""

from collections.abc import Iterator
from random import Random

import gevent
import msgspec
import pytest
from result import Result

from anvilthread.configuration import (
    STORE_KEY,
    Applier,
    ApplyConflict,
    ApplyStoreBehind,
    ConfigurationRecord,
    decode_record,
    encode_record,
)
from anvilthread.configuration.record import Change
from anvilthread.store import StoreError, WriteGuard
from standins.configuration_fleet import Fleet, proposal, texts
from standins.memory_store import MemoryStore
from standins.store_state import StoreCopy

#: Target of the design page for "in force everywhere".
_TARGET_MS = 3000

#: Time for which the store is away before it comes back.
_AWAY_MS = 1500


def _changed_fleet(size: int) -> tuple[Fleet, StoreCopy]:
    """Returns nodes with revision 4, and a copy of the store at revision 1."""
    fleet = Fleet(size=size)
    fleet.apply(proposal()).unwrap()
    copy = fleet.state.save_copy()
    for revision in range(2, 5):
        change = proposal(deadline_ms=revision, expected=revision - 1)
        fleet.apply(change).unwrap()
        fleet.clock.advance(_TARGET_MS)
    return fleet, copy


def _restore(fleet: Fleet, copy: StoreCopy, away_ms: int) -> None:
    fleet.state.faults.outage = away_ms > 0
    fleet.state.restore_copy(copy)
    fleet.clock.advance(away_ms)
    fleet.state.faults.outage = False


def _stored(fleet: Fleet) -> ConfigurationRecord:
    return decode_record(fleet.state.read(STORE_KEY).value).unwrap()


@pytest.fixture(params=[6, 60])
def changed_fleet(
    request: pytest.FixtureRequest,
) -> Iterator[tuple[Fleet, StoreCopy]]:
    """Fleets whose nodes all watch the store, and of which few do."""
    fleet, copy = _changed_fleet(request.param)
    yield fleet, copy
    fleet.stop()


@pytest.mark.parametrize('away_ms', [0, _AWAY_MS])
def test_change_after_a_restore_is_in_force_in_time(
    changed_fleet: tuple[Fleet, StoreCopy], away_ms: int
) -> None:
    """Guards against watches that wait for an index of before the restore."""
    fleet, copy = changed_fleet
    record = next(iter(fleet.nodes.values())).record
    assert record is not None
    _restore(fleet, copy, away_ms)
    assert fleet.applier.restore(record).is_ok()
    fleet.apply(proposal(deadline_ms=5, expected=4)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {5}


@pytest.mark.parametrize('away_ms', [0, _AWAY_MS])
def test_nodes_write_a_lost_configuration_back(
    changed_fleet: tuple[Fleet, StoreCopy], away_ms: int
) -> None:
    """Guards against confirmed changes that end with the last process.

    Pattern: a restore, and some seconds later a loss of power of all VMs.
    """
    fleet, copy = changed_fleet
    _restore(fleet, copy, away_ms)
    fleet.clock.advance(_TARGET_MS)
    assert _stored(fleet).revision == 4
    fleet.restart_all()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {4}
    fleet.apply(proposal(deadline_ms=5, expected=4)).unwrap()
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {5}


def test_stale_answers_are_not_taken_for_a_restore(
    changed_fleet: tuple[Fleet, StoreCopy],
) -> None:
    """Guards against nodes that overwrite a store that is only read late."""
    fleet, _ = changed_fleet
    index = fleet.state.read(STORE_KEY).index
    fleet.state.faults.older_by = 2
    fleet.clock.advance(30_000)
    fleet.state.faults.older_by = 0
    assert fleet.state.read(STORE_KEY).index == index


def test_change_made_after_the_restore_is_not_overwritten(
    changed_fleet: tuple[Fleet, StoreCopy],
) -> None:
    """Guards against nodes that replace what an operator has just applied.

    Such a change has a lower revision than the nodes, but is not one of the
    changes that they know.
    """
    fleet, copy = changed_fleet
    fork = Change(revision=2, change_id='fork', operator='x', applied_ms=0)
    first = decode_record(copy.versions[STORE_KEY][-1].value).unwrap()
    forked = first.followed_by(fork, texts(9))
    fleet.state.restore_copy(copy)
    fleet.state.restore(STORE_KEY, encode_record(forked).unwrap())
    fleet.clock.advance(30_000)
    assert _stored(fleet).change.change_id == 'fork'


@pytest.mark.parametrize('is_forked', [True, False])
def test_operator_can_replace_what_the_store_has_lost(is_forked: bool) -> None:
    """Guards against confirmed changes that no node ever puts in force.

    Pattern: a change is applied on top of the restored record, or no node
    reaches the store to write its record back.
    """
    fleet, copy = _changed_fleet(6)
    for store in fleet.stores.values():
        store.reachable = False
    fleet.state.restore_copy(copy)
    stored = 1
    if is_forked:
        fork = Change(revision=2, change_id='fork', operator='x', applied_ms=0)
        forked = _stored(fleet).followed_by(fork, texts(9))
        fleet.state.restore(STORE_KEY, encode_record(forked).unwrap())
        stored = 2
    change = proposal(deadline_ms=9, expected=stored)
    refused = fleet.apply(change).unwrap_err()
    assert isinstance(refused, ApplyStoreBehind)
    superseding = msgspec.structs.replace(change, supersede=True)
    applied = fleet.apply(superseding).unwrap()
    assert (applied.revision, applied.is_new) == (5, True)
    for store in fleet.stores.values():
        store.reachable = True
    fleet.clock.advance(_TARGET_MS)
    assert fleet.revisions() == {5}
    assert fleet.apply(superseding).unwrap().is_new is False
    fleet.stop()


def test_superseding_change_yields_to_a_later_one() -> None:
    """Guards against a replacement that reverts what it has not read."""
    fleet = Fleet(size=6)
    for revision in (1, 2):
        change = proposal(deadline_ms=revision, expected=revision - 1)
        fleet.apply(change).unwrap()
        fleet.clock.advance(_TARGET_MS)
    late = msgspec.structs.replace(
        proposal(deadline_ms=7, expected=1), supersede=True
    )
    assert isinstance(fleet.apply(late).unwrap_err(), ApplyConflict)
    fleet.stop()


class _RestoredBeforeWrite(MemoryStore):
    """The store is restored, and changed, before a write arrives."""

    def __init__(self, *, fleet: Fleet, copy: StoreCopy) -> None:
        super().__init__(state=fleet.state, clock=fleet.clock)
        self._fleet = fleet
        self._copy = copy
        self._is_first = True

    def put(
        self,
        key: str,
        value: bytes,
        revision: int,
        guard: WriteGuard | None = None,
    ) -> Result[None, StoreError]:
        """Writes a key if it is still at a revision."""
        if self._is_first:
            self._is_first = False
            self._fleet.state.restore_copy(self._copy)
            change = proposal(deadline_ms=7, expected=1, operator='bea')
            self._fleet.applier.apply(change).unwrap()
        return super().put(key, value, revision, guard)


def test_write_prepared_before_a_restore_has_no_effect() -> None:
    """Guards against a write whose index names other content by now."""
    fleet = Fleet(size=0)
    fleet.apply(proposal()).unwrap()
    copy = fleet.state.save_copy()
    fleet.apply(proposal(deadline_ms=2, expected=1)).unwrap()
    applier = Applier(
        store=_RestoredBeforeWrite(fleet=fleet, copy=copy),
        clock=fleet.clock,
        random=Random(1),
        peer_revision=fleet.highest_revision,
    )
    task = gevent.spawn(applier.apply, proposal(deadline_ms=3, expected=2))
    fleet.clock.advance(_TARGET_MS)
    assert isinstance(task.value.unwrap_err(), ApplyConflict)
    assert _stored(fleet).change.change_id == 'bea-7'
    fleet.stop()
