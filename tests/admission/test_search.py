"""Search for a place after the local target has refused."""

from collections.abc import Collection

import gevent
import pytest
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.admission import Admission, Limits, refusals
from anvilthread.admission.attempts import Attempts
from anvilthread.admission.search import Search
from anvilthread.clock import ManualClock
from anvilthread.outcomes import Reason, Request
from standins.requests import run_request


class Place:
    """A place on this agent or on a peer."""

    def __init__(self, agent: Address | None) -> None:
        self.agent = agent


class BusyPeers:
    """Agents that refuse offers until a slot becomes free.

    Args:
        clock: Clock of the test.
        free_ms: Time at which a slot becomes free.
        asked: Whether there are any agents.
    """

    pending = False

    def __init__(
        self, clock: ManualClock, free_ms: int, *, asked: bool = True
    ) -> None:
        self.clock = clock
        self.free_ms = free_ms
        self.asked = asked
        self.offers = 0

    def offer(
        self, request: Request, excluded: Collection[Address], wake: Event
    ) -> 'BusyPeers':
        """Counts the offer, which is refused immediately."""
        self.offers += 1
        return self

    def take(self) -> Place | None:
        """Returns a place if a slot is free."""
        if self.clock.now_ms() < self.free_ms:
            return None
        return Place(Address(host='10.0.0.2', port=1))

    def close(self) -> None:
        """Does nothing, since there is no offer to withdraw."""


@pytest.mark.parametrize(
    ('free_ms', 'asked', 'found_by_ms'),
    [(3000, True, 3200), (9000, True, None), (3000, False, None)],
)
def test_busy_peers_are_asked_again(
    free_ms: int, asked: bool, found_by_ms: int | None
) -> None:
    """Guards against a request refused although a peer has a slot in time."""
    clock = ManualClock()
    peers = BusyPeers(clock, free_ms, asked=asked)
    attempts = Attempts()
    attempts.record(Place(None), refusals.target_unavailable())
    search = Search(
        clock=clock,
        admission=Admission(clock=clock, limits=Limits(slots=1)),
        source=peers,
        request=run_request('x', deadline_ms=10_000),
        attempts=attempts,
    )
    task = gevent.spawn(search.find)
    clock.advance(found_by_ms or 5200)
    assert task.ready()
    outcome = task.value
    assert outcome.is_ok() is (found_by_ms is not None)
    if outcome.is_err():
        assert outcome.err_value.reason is Reason.TARGET_UNAVAILABLE
    assert peers.offers <= 60
