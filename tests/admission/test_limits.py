"""Changes of the limits while requests wait."""

import msgspec
import pytest
from gevent.event import Event
from result import Result

from anvilthread.admission import Admission, Limits, RetryBudget
from anvilthread.admission.waiter import Waiter
from anvilthread.clock import ManualClock
from anvilthread.outcomes import Outcome


@pytest.mark.parametrize(('limit', 'accepted'), [(1, False), (3, True)])
def test_new_queue_limit_holds_for_the_next_request(
    limit: int, accepted: bool
) -> None:
    """Guards against a configuration change that has no effect."""
    limits = Limits(slots=1, queue=2)
    admission = Admission(clock=ManualClock(), limits=limits)
    waiters = [_enter(admission) for _ in range(3)]
    assert all(waiter.is_ok() for waiter in waiters)
    admission.use_limits(msgspec.structs.replace(limits, queue=limit))
    assert _enter(admission).is_ok() is accepted
    assert admission.load.waiting == 2 + accepted


def test_new_retry_ratio_holds_for_the_next_request() -> None:
    """Guards against a retry budget that keeps its initial ratio."""
    budget = RetryBudget(ratio=0.1)
    budget.use_ratio(0)
    for _ in range(100):
        budget.record()
    assert not budget.take()


def _enter(admission: Admission) -> Result[Waiter, Outcome]:
    return admission.enter(
        deadline_ms=10_000, stream=False, is_local=True, wake=Event()
    )
