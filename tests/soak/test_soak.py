"""A short soak with a fixed seed."""

import pytest

from soak.cluster import SoakCluster
from soak.soak import Soak


@pytest.mark.parametrize(
    ('seed', 'only_planned'),
    [(3, True), (4, False)],
)
def test_short_soak(seed: int, only_planned: bool) -> None:
    """Guards against broken promises under overlapping faults."""
    soak = Soak(cluster=SoakCluster(seed=seed), seed=seed)
    result = soak.run(6, only_planned=only_planned)
    assert result.violations == []
    assert result.answered > 100
