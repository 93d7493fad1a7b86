"""Mutation tests: the soak detects deliberate faults in the programs."""

import sys
import time
from pathlib import Path

import pytest

from soak import soak as soak_module
from soak.cluster import EXTRA_PORT, SoakCluster
from soak.faults import Faults
from soak.soak import Soak, SoakResult

_MUTANT = str(Path(__file__).with_name('mutant.py'))

#: Injected faults that expose a mutant, in order.
_DRAIN_FAULTS = ('drain_target', 'drain_target')
_ROUTE_FAULTS = ('remove_route',)
_RESTART_FAULTS = ('restart_balancer',)
_EVACUATION_FAULTS = ('evacuate_site',)
_PAUSE_FAULTS = ('pause_each_target',)


class _ScriptedFaults:
    """Injects given faults in place of random ones."""

    def __init__(
        self, cluster: SoakCluster, faults: Faults, names: tuple[str, ...]
    ) -> None:
        self._cluster = cluster
        self._faults = faults
        self._names = names
        self.injected = faults.injected

    def run(self, _seconds: float, *, only_planned: bool) -> None:
        # By then both balancers are in rotation and long flows are open.
        soak_module.gevent.sleep(1.5)
        for name in self._names:
            getattr(self, name, getattr(self._faults, name, None))()
        soak_module.gevent.sleep(0.3)

    def remove_route(self) -> None:
        """Removes a route after all nodes have applied it.

        Nodes read the configuration about once per second, so the random
        fault may remove a route before any of them has seen it.
        """
        cluster = self._cluster
        cluster.configure((EXTRA_PORT,))
        soak_module.gevent.sleep(2.5)
        cluster.configure(())
        cluster.checker.route_removed_s[EXTRA_PORT] = time.monotonic()
        soak_module.gevent.sleep(4.5)

    def pause_each_target(self) -> None:
        """Pauses one target after the other, for most of a second.

        The duration of a random pause may be too short for opening packets
        to stay unanswered.
        """
        for target in self._cluster.targets.values():
            target.pause()
            soak_module.gevent.sleep(0.8)
            target.resume()
            soak_module.gevent.sleep(0.3)


def _run_soak(
    mutant: str | None, names: tuple[str, ...], start_limit_s: float
) -> SoakResult:
    program = () if mutant is None else (sys.executable, _MUTANT, mutant)
    cluster = SoakCluster(seed=7, balancers=2, agents=2, program=program)
    soak = Soak(cluster=cluster, seed=7)
    soak._faults = _ScriptedFaults(cluster, soak._faults, names)
    soak_module._START_LIMIT_S, previous_limit_s = (
        start_limit_s,
        soak_module._START_LIMIT_S,
    )
    try:
        return soak.run(1, only_planned=True)
    finally:
        soak_module._START_LIMIT_S = previous_limit_s


@pytest.mark.parametrize(
    ('mutant', 'names', 'invariant'),
    [
        ('ignore_draining', _DRAIN_FAULTS, 'no_work_after_drain'),
        ('ignore_new_versions', _ROUTE_FAULTS, 'configuration_never_reverts'),
        ('mix_services', _DRAIN_FAULTS, 'runs_only_what_was_asked'),
        ('reset_moved_flows', _RESTART_FAULTS, 'live_flow_is_not_reset'),
        ('trust_silence', _PAUSE_FAULTS, 'live_flow_is_not_reset'),
        ('alter_packets', _DRAIN_FAULTS, 'packets_unchanged'),
        (
            'ignore_evacuations',
            _EVACUATION_FAULTS,
            'no_flow_at_evacuated_site',
        ),
        ('serve_nobody', (), 'serves_after_recovery'),
    ],
)
def test_mutant_is_noticed(
    mutant: str, names: tuple[str, ...], invariant: str
) -> None:
    """Guards against a check that does not detect its violation."""
    result = _run_soak(mutant, names, 6)
    assert invariant in {violated for violated, _ in result.violations}


@pytest.mark.parametrize(
    'names',
    [
        _DRAIN_FAULTS,
        _ROUTE_FAULTS,
        _RESTART_FAULTS,
        _EVACUATION_FAULTS,
        _PAUSE_FAULTS,
    ],
)
def test_real_program_violates_no_invariant(names: tuple[str, ...]) -> None:
    """Guards against a check that fails on the unchanged program."""
    result = _run_soak(None, names, 20)
    assert not result.violations
    assert result.answered > 20
