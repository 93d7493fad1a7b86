"""Order and retention of evacuated sites, in virtual time."""

from collections.abc import Iterable

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.telemetry.memory_log import MemoryLog

#: Views as (era, revision, sites), and pauses in ms.
_Step = tuple[int, int, str] | int


def _view(era: int, revision: int, sites: Iterable[str]) -> EvacuationView:
    return EvacuationView(era=era, revision=revision, sites=tuple(sites))


class _Holder:
    def __init__(self, *, is_enabled: bool = True) -> None:
        self.clock = ManualClock(start_ms=1000)
        self.log = MemoryLog()
        self.known_sites = set('ab')
        self.changes = 0
        self.holder = EvacuationHolder(
            clock=self.clock, log=self.log, is_enabled=is_enabled
        )
        self.holder.subscribe(self._count)

    def play(self, steps: Iterable[_Step]) -> str:
        for step in steps:
            if isinstance(step, int):
                self.clock.advance(step)
                self.holder.tick(self._find_sites)
            else:
                self.holder.update(_view(*step), 'test', 0)
        return ''.join(sorted(self.holder.sites))

    def _find_sites(self) -> set[str]:
        return self.known_sites

    def _count(self) -> None:
        self.changes += 1


@pytest.mark.parametrize(
    ('steps', 'sites'),
    [
        pytest.param([(1, 5, 'a'), (1, 6, 'ab')], 'ab', id='more sites'),
        pytest.param([(1, 5, 'ab'), (1, 6, 'b')], 'b', id='fewer sites'),
        pytest.param([(1, 5, 'a'), (1, 6, '')], '', id='site taken back'),
        pytest.param([(1, 6, 'a'), (1, 5, '')], 'a', id='late view'),
        pytest.param([(1, 6, ''), (1, 5, 'a')], '', id='late request'),
        pytest.param([(2, 5, 'a'), (1, 9, '')], 'a', id='earlier era'),
        pytest.param(
            [(2, 5, ''), (1, 9, 'a')], '', id='request of earlier era'
        ),
    ],
)
def test_highest_view_is_in_force(steps: list[_Step], sites: str) -> None:
    """Guards against sites opened or closed by a view that arrives late."""
    assert _Holder().play(steps) == sites


@pytest.mark.parametrize(
    ('steps', 'sites'),
    [
        pytest.param([(1, 9, 'a'), (2, 4, '')], 'a', id='lost in the restore'),
        pytest.param([(1, 9, 'a'), (2, 4, ''), 9900], 'a', id='until 10 s'),
        pytest.param([(1, 9, 'a'), (2, 4, ''), 10_000], '', id='after 10 s'),
        pytest.param(
            [(1, 9, 'a'), (2, 4, ''), 9000, (2, 5, ''), 1000],
            '',
            id='10 s from the first view of the era',
        ),
        pytest.param(
            [(1, 9, 'a'), (2, 4, ''), (2, 5, 'a'), 20_000],
            'a',
            id='written again',
        ),
        pytest.param(
            [(1, 9, 'a'), (2, 4, ''), (2, 5, 'a'), (2, 6, '')],
            '',
            id='written again and removed',
        ),
        pytest.param(
            [(1, 9, 'a'), (2, 4, 'a'), (2, 5, '')],
            '',
            id='in the copy and removed',
        ),
        pytest.param(
            [(1, 9, 'ab'), (2, 4, 'a'), (2, 5, '')],
            'b',
            id='only the lost site is kept',
        ),
        pytest.param(
            [(1, 9, 'a'), (2, 4, ''), 9000, (3, 4, ''), 9000],
            'a',
            id='two restores',
        ),
        pytest.param([(2, 4, '')], '', id='first view of a process'),
    ],
)
def test_restored_store(steps: list[_Step], sites: str) -> None:
    """Guards against a site opened because a restore has lost its key.

    Revisions are given out again after a restore, and the copy may be some
    seconds older than the request of the operator.
    """
    assert _Holder().play(steps) == sites


@pytest.mark.parametrize(
    ('era', 'revision', 'sites'),
    [
        (-1, 9, ['b']),
        (2, -9, ['b']),
        (2, 9, ['b', '']),
        (2, 9, ['a/b']),
        (2, 9, ['b ']),
        (2, 9, ['b\n']),
        (2, 9, ['b' * 64]),
    ],
)
def test_impossible_view_changes_nothing(
    era: int, revision: int, sites: list[str]
) -> None:
    """Guards against an evacuation that ends with a malformed message."""
    holder = _Holder()
    holder.play([(1, 5, 'a')])
    holder.holder.update(_view(era, revision, sites), 'peer:10.0.0.1', 0)
    assert holder.holder.sites == {'a'}
    assert len(holder.log.named('evacuation_ignored')) == 1


def test_no_effect_where_sites_are_not_evacuated() -> None:
    """Guards against an effect on deployments without evacuation."""
    holder = _Holder(is_enabled=False)
    assert holder.play([(1, 5, 'a')]) == ''
    assert holder.holder.is_known
    assert holder.holder.view is None
    assert not holder.log.entries


@pytest.mark.parametrize(
    ('steps', 'changes'),
    [
        ([(1, 5, '')], 1),
        ([(1, 5, ''), (1, 6, ''), (1, 7, '')], 1),
        ([(1, 5, ''), (1, 6, 'a'), (1, 7, 'a')], 2),
        ([(1, 5, 'a'), (2, 1, ''), 10_000], 2),
    ],
)
def test_each_change_is_logged_and_reported_once(
    steps: list[_Step], changes: int
) -> None:
    """Guards against reports and log lines at each write to the store."""
    holder = _Holder()
    holder.play(steps)
    assert holder.changes == changes
    assert len(holder.log.named('evacuation_changed')) == changes


@pytest.mark.parametrize(
    ('steps', 'warnings'),
    [
        ([(1, 5, 'a'), 9000, 9000], 0),
        ([(1, 5, 'c'), 2000], 0),
        ([(1, 5, 'c'), 9000, 9000], 1),
        ([(1, 5, 'c'), 9000, (1, 6, ''), 9000, (1, 7, 'c'), 9000], 2),
    ],
)
def test_unknown_site_is_logged_once(steps: list[_Step], warnings: int) -> None:
    """Guards against a misspelt site that nobody notices.

    A node that has just started does not know all sites yet.
    """
    holder = _Holder()
    holder.play(steps)
    assert len(holder.log.named('evacuation_unknown_site')) == warnings


def test_ignored_names_are_logged_once_per_change() -> None:
    """Guards against a log line at each read, once per second."""
    holder = _Holder()
    for names in ((), ('',), ('',), ('', 'a/b'), (), ('',)):
        holder.holder.ignore(names, 'store')
    assert len(holder.log.named('evacuation_ignored')) == 3


@pytest.mark.parametrize(
    ('later', 'age_ms'),
    [
        ((1, 5, 40), 40),
        ((1, 6, 40), 40),
        ((1, 5, -1), 700),
        ((1, 4, 40), 700),
        ((1, 5, 900), 700),
    ],
)
def test_age_counts_from_the_store(
    later: tuple[int, int, int], age_ms: int
) -> None:
    """Guards against a node with an old view that takes it for checked."""
    holder = _Holder()
    assert holder.holder.age_ms == -1
    holder.play([(1, 5, 'a'), 700])
    era, revision, later_age_ms = later
    holder.holder.update(_view(era, revision, 'a'), 'test', later_age_ms)
    assert holder.holder.age_ms == age_ms


@pytest.mark.parametrize(('count', 'fits'), [(90, True), (200, False)])
def test_large_view_is_not_part_of_a_hello(count: int, fits: bool) -> None:
    """Guards against hellos that the receivers cut off."""
    view = _view(1, 1, (f'site-{number:04}' for number in range(count)))
    assert view.fits_hello is fits
