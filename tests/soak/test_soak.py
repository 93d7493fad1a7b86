"""Short soaks with the seeds that have failed."""

from pathlib import Path

import pytest

from soak.cluster import SoakCluster
from soak.connections import soak_connections
from soak.failed_seeds import FailedSeed, load_failed_seeds
from soak.soak import Soak

_SEEDS = load_failed_seeds()


@pytest.mark.parametrize('failed', _SEEDS.flows, ids=lambda it: it.seed)
def test_short_soak_of_flows(failed: FailedSeed) -> None:
    """Guards against broken promises under overlapping faults."""
    soak = Soak(cluster=SoakCluster(seed=failed.seed), seed=failed.seed)
    result = soak.run(6, only_planned=failed.only_planned)
    assert result.violations == []
    assert result.answered > 100


@pytest.mark.parametrize('failed', _SEEDS.connections, ids=lambda it: it.seed)
def test_short_soak_of_connections(tmp_path: Path, failed: FailedSeed) -> None:
    """Guards against broken guarantees under overlapping faults."""
    verdict, faults = soak_connections(
        seed=failed.seed, seconds=5, directory=tmp_path
    )
    assert verdict.holds, verdict.line()
    assert not faults.failures
    assert faults.injected
    assert verdict.answered > 50
