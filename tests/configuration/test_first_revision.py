"""The first revision reaches nodes that run without one."""

import pytest

from standins.configuration_fleet import Fleet, proposal

#: Target of the design page for "in force everywhere".
_TARGET_MS = 3000


@pytest.mark.parametrize('seed', range(1, 6))
def test_first_revision_is_in_force_everywhere(seed: int) -> None:
    """Guards against nodes that wait too long for peers without a revision.

    Fetches from peers without a revision ran into the timeout of 1 s, and a
    notice did not end the backoff of up to 2 s that followed.
    """
    fleet = Fleet(size=60, seed=seed)
    fleet.clock.advance(20_000)
    fleet.apply(proposal()).unwrap()
    fleet.clock.advance(_TARGET_MS)
    revisions = fleet.revisions()
    fleet.stop()
    assert revisions == {1}
