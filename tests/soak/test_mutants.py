"""The soak notices faults that are put into the real programs."""

import sys
import time
from pathlib import Path

import pytest

from soak import soak as soak_module
from soak.cluster import EXTRA_PORT, SoakCluster
from soak.faults import Faults
from soak.soak import Soak, SoakResult

_MUTANT = str(Path(__file__).with_name('mutant.py'))

#: Faults that bring out each mutant, in order.
_DRAIN = ('drain_target', 'drain_target')
_ROUTE = ('remove_route',)
_RESTART = ('restart_balancer',)


class _Script:
    """Injects named faults in place of random ones."""

    def __init__(
        self, cluster: SoakCluster, faults: Faults, names: tuple[str, ...]
    ) -> None:
        self._cluster = cluster
        self._faults = faults
        self._names = names
        self.injected = faults.injected

    def run(self, _seconds: float, *, only_planned: bool) -> None:
        # Both balancers are in rotation, and long flows are open, by then.
        soak_module.gevent.sleep(1.5)
        for name in self._names:
            getattr(self, name, getattr(self._faults, name, None))()
        soak_module.gevent.sleep(0.3)

    def remove_route(self) -> None:
        """Removes a route after all nodes have taken it over.

        Nodes read the configuration about once per second, so the random
        fault may remove a route before any of them has seen it.
        """
        cluster = self._cluster
        cluster.configure((EXTRA_PORT,))
        soak_module.gevent.sleep(2.5)
        cluster.configure(())
        cluster.ledger.removed_s[EXTRA_PORT] = time.monotonic()
        soak_module.gevent.sleep(4.5)


def _run(
    mutant: str | None, names: tuple[str, ...], start_s: float
) -> SoakResult:
    program = () if mutant is None else (sys.executable, _MUTANT, mutant)
    cluster = SoakCluster(seed=7, balancers=2, agents=2, program=program)
    soak = Soak(cluster=cluster, seed=7)
    soak._faults = _Script(cluster, soak._faults, names)
    soak_module._START_S, before = start_s, soak_module._START_S
    try:
        return soak.run(1, only_planned=True)
    finally:
        soak_module._START_S = before


@pytest.mark.parametrize(
    ('mutant', 'names', 'promise'),
    [
        ('ignore_draining', _DRAIN, 'no_work_after_drain'),
        ('ignore_new_versions', _ROUTE, 'configuration_never_reverts'),
        ('mix_services', _DRAIN, 'runs_only_what_was_asked'),
        ('reset_moved_flows', _RESTART, 'live_flow_is_not_reset'),
        ('alter_packets', _DRAIN, 'packets_unchanged'),
        ('serve_nobody', (), 'serves_after_recovery'),
    ],
)
def test_mutant_is_noticed(
    mutant: str, names: tuple[str, ...], promise: str
) -> None:
    """Guards against a check that cannot fail."""
    result = _run(mutant, names, 6)
    assert promise in {broken for broken, _ in result.violations}


@pytest.mark.parametrize('names', [_DRAIN, _ROUTE, _RESTART])
def test_real_program_keeps_the_promises(names: tuple[str, ...]) -> None:
    """Guards against a check that fails without a fault."""
    result = _run(None, names, 20)
    assert not result.violations
    assert result.answered > 20
