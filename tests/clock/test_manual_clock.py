"""Virtual time: order of wake-ups, timeouts and freezes."""

import gevent
import pytest
from gevent.event import Event

from anvilthread.clock import ManualClock


def test_tasks_wake_in_order_of_their_deadlines() -> None:
    """Guards against wake-ups that follow creation order."""
    clock = ManualClock()
    woken: list[tuple[int, int]] = []

    def sleeper(delay_ms: int) -> None:
        clock.sleep_ms(delay_ms)
        woken.append((delay_ms, clock.now_ms()))

    tasks = [gevent.spawn(sleeper, delay) for delay in (30, 10, 20)]
    clock.advance(100)
    gevent.joinall(tasks)
    assert woken == [(10, 10), (20, 20), (30, 30)]
    assert clock.now_ms() == 100


@pytest.mark.parametrize(
    ('set_at_ms', 'timeout_ms', 'expected'),
    [(10, 50, (True, 10)), (80, 50, (False, 50)), (0, 50, (True, 0))],
)
def test_wait_ends_at_event_or_timeout(
    set_at_ms: int, timeout_ms: int, expected: tuple[bool, int]
) -> None:
    """Guards against a wait that misses the event or outlives its limit."""
    clock = ManualClock()
    event = Event()
    seen: list[tuple[bool, int]] = []

    def setter() -> None:
        clock.sleep_ms(set_at_ms)
        event.set()

    def waiter() -> None:
        outcome = clock.wait(event, timeout_ms)
        seen.append((outcome, clock.now_ms()))

    tasks = [gevent.spawn(setter), gevent.spawn(waiter)]
    clock.advance(100)
    gevent.joinall(tasks)
    assert seen == [expected]
