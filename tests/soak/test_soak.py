"""A short soak with a fixed seed."""

import pytest

from soak.cluster import SoakCluster
from soak.soak import Soak


#: Seeds that once failed, with the cause:
#: 9, 21, 30: the ledger counted resets of flows whose route was removed.
#: 24, 25: a fault went on after the end of the soak and found no cluster.
#: Since fail_target and silence_target were added, 25 draws other faults.
@pytest.mark.parametrize(
    ('seed', 'only_planned'), [(9, True), (24, True), (25, False)]
)
def test_short_soak(seed: int, only_planned: bool) -> None:
    """Guards against broken promises under overlapping faults."""
    soak = Soak(cluster=SoakCluster(seed=seed), seed=seed)
    result = soak.run(6, only_planned=only_planned)
    assert result.violations == []
    assert result.answered > 100
