"""Attempts of a balancer to place a flow, and new flows at an agent."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.awaited_requests import AwaitedRequests
from anvilthread.flows.opening_attempts import OpeningAttempts
from standins.flow_cluster import flow_key


@pytest.mark.parametrize(
    ('copies', 'age_ms'), [(0, 0), (1, 200), (2, 600), (9, 600), (-1, 0)]
)
def test_age_of_a_copy(copies: int, age_ms: int) -> None:
    """Guards against a packet that waits longer than its client.

    Failure: a balancer has restarted and knows of a flow by a copy only.
    """
    attempts = OpeningAttempts(now_ms=10_000, copies=copies)
    assert attempts.sent_ms == 10_000 - age_ms


def test_shortest_wait_is_chosen_after_three() -> None:
    """Guards against attempts without end, and a choice of a refusing agent."""
    attempts = OpeningAttempts(now_ms=0, copies=0)
    for host, wait_ms in (('a', 90), ('b', 60), ('c', 70)):
        assert not attempts.is_exhausted
        attempts.record_busy(host, wait_ms)
    assert attempts.is_exhausted
    assert attempts.shortest == 'b'
    attempts.exclude('b')
    assert attempts.shortest == 'c'
    assert not attempts.is_exhausted


def test_new_flow_counts_until_its_request_or_25_ms() -> None:
    """Guards against a slot that is kept for a client that sends nothing."""
    clock = ManualClock(start_ms=1000)
    awaited = AwaitedRequests(clock=clock)
    for number in range(3):
        awaited.add(flow_key(number))
    awaited.discard(flow_key(0))
    assert awaited.count == 2
    clock.advance(20)
    awaited.add(flow_key(1))
    clock.advance(4)
    assert awaited.count == 2
    clock.advance(1)
    # Only the flow that has been opened again is left.
    assert awaited.count == 1
    clock.advance(20)
    assert not awaited.count
