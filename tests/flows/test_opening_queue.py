"""Order, fairness and limits of the opening packets that wait at an agent."""

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.flow_key import FlowKey, pack_endpoint
from anvilthread.flows.opening_queue import (
    ABANDONED_MS,
    MAX_WAITING,
    OpeningQueue,
)
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.flows.traffic_class import TrafficClass
from standins.flow_cluster import flow_key

_NOW_MS = 10_000
_RUN_MS = 30
_OBJECTIVE_MS = 300


def _opening(
    number: int, priority: int, age_ms: int, *, client: str = ''
) -> QueuedOpening:
    key = flow_key(number)
    if client:
        key = FlowKey(pack_endpoint(client, number) + key[6:])
    return QueuedOpening(
        key=key,
        content=b'',
        balancer='10.0.0.1',
        traffic=TrafficClass(priority=priority, objective_ms=_OBJECTIVE_MS),
        sent_ms=_NOW_MS - age_ms,
        arrived_ms=_NOW_MS,
    )


def _queue(*openings: QueuedOpening) -> OpeningQueue:
    queue = OpeningQueue(clock=ManualClock(start_ms=_NOW_MS))
    for opening in openings:
        queue.add(opening)
    return queue


def _drain(queue: OpeningQueue, count: int) -> list[FlowKey]:
    taken = [queue.take(_RUN_MS) for _ in range(count)]
    return [opening.key for opening in taken if opening is not None]


@pytest.mark.parametrize(
    ('waiting', 'expected'),
    [
        # Two priorities above capacity: the higher one is not delayed.
        ([(2, 50), (1, 10), (2, 60), (1, 20)], [3, 1, 2, 0]),
        # After a power loss: second attempts that are late do not delay new
        # ones that can still be in time, even those of a lower priority.
        ([(1, 900), (2, 10), (1, 20)], [2, 1, 0]),
        # The objective includes the run time: at 271 ms it is missed.
        ([(1, 271), (1, 270)], [1, 0]),
        # All late: by priority, then by age.
        ([(2, 900), (1, 400), (1, 500)], [2, 1, 0]),
    ],
)
def test_order(waiting: list[tuple[int, int]], expected: list[int]) -> None:
    """Guards against requests that are late behind ones of less value."""
    queue = _queue(
        *(
            _opening(number, priority, age_ms)
            for number, (priority, age_ms) in enumerate(waiting)
        )
    )
    drained = _drain(queue, len(waiting))
    assert drained == [flow_key(number) for number in expected]


@pytest.mark.parametrize('older', [0, 3, 11])
def test_no_packet_starves(older: int) -> None:
    """Guards against a low priority that waits forever.

    Load: the high priority alone exceeds the capacity of the target.
    """
    queue = _queue(*(_opening(number, 9, 299) for number in range(older)))
    last = _opening(500, 9, 200)
    queue.add(last)
    for delivery in range(5 * (older + 1)):
        queue.add(_opening(1000 + delivery, 0, 0))
        taken = queue.take(_RUN_MS)
        if taken is last:
            return
    pytest.fail('the packet was not delivered within the bound')


def test_flood_of_one_client_leaves_room() -> None:
    """Guards against a queue that the packets of one client fill.

    Load: a client opens flows without end.
    """
    queue = _queue()
    for number in range(MAX_WAITING):
        opening = _opening(number, 2, 0, client='100.64.9.9')
        if queue.has_room_for(opening.key, 2):
            queue.add(opening)
    assert len(queue) == MAX_WAITING // 4
    assert queue.has_room_for(flow_key(1), 2)
    for number in range(MAX_WAITING):
        opening = _opening(number, 2, 0, client=f'100.64.1.{number}')
        if queue.has_room_for(opening.key, 2):
            queue.add(opening)
    assert len(queue) == MAX_WAITING
    assert not queue.has_room_for(flow_key(1), 2)


def test_high_priority_displaces_the_last_of_a_low_one() -> None:
    """Guards against a full queue that refuses packets of more value.

    Load: the low priority alone exceeds the capacity of the target.
    """
    queue = _queue(
        *(
            _opening(number, 2, number, client=f'100.64.1.{number}')
            for number in range(MAX_WAITING)
        )
    )
    assert queue.has_room_for(flow_key(999), 1)
    assert not queue.has_room_for(flow_key(999), 2)
    queue.add(_opening(999, 1, 0))
    displaced = queue.take_displaced(_RUN_MS)
    assert displaced is not None
    assert (displaced.priority, displaced.sent_ms) == (2, _NOW_MS)
    assert queue.take_displaced(_RUN_MS) is None


@pytest.mark.parametrize(
    ('priority', 'is_late', 'ahead'),
    [
        # Only packets that can still be in time go before a new one.
        (1, False, 1),
        (2, False, 4),
        (1, True, 6),
        (2, True, 24),
    ],
)
def test_late_packets_do_not_delay_new_ones(
    priority: int, is_late: bool, ahead: int
) -> None:
    """Guards against new flows refused for a backlog that they go before.

    Load: a second of power loss, after which late attempts fill the queue.
    """
    queue = _queue()
    for number in range(20):
        queue.add(_opening(number, 1 if number < 2 else 2, 1000))
    for number, in_time in enumerate((1, 2, 2, 2), start=20):
        queue.add(_opening(number, in_time, 0))
    counted = queue.count_ahead(priority, _RUN_MS, is_late=is_late)
    assert counted == ahead


def test_client_that_left_frees_its_share() -> None:
    """Guards against a client that is refused for packets that have left."""
    queue = _queue()
    for number in range(1000):
        queue.add(_opening(number, number % 10, 0))
        assert queue.has_room_for(flow_key(number), 0)
        assert queue.count_ahead(9, 10) == 1
        assert queue.discard(flow_key(number)) is not None
    assert not queue.count_ahead(9, 10)
    assert queue.take(_RUN_MS) is None


@pytest.mark.parametrize(
    ('ages_ms', 'above', 'hopeless'),
    [
        # Nothing else waits, and the client has 31 ms left.
        ([ABANDONED_MS - 31], 0, []),
        # A request is at work first.
        ([ABANDONED_MS - 31], 2, [0]),
        ([ABANDONED_MS], 0, [0]),
        # Late ones are next by age every fifth delivery, so the oldest of
        # them stays although 20 packets in time come first.
        ([*(0 for _ in range(20)), 600, 1200, 1100, 1150], 0, [22, 23]),
    ],
)
def test_hopeless_packets_are_found(
    ages_ms: list[int], above: int, hopeless: list[int]
) -> None:
    """Guards against clients that wait for what cannot be served any more.

    Load: the backlog of a second of power loss, with all attempts.
    """
    queue = _queue(
        *(_opening(number, 2, age_ms) for number, age_ms in enumerate(ages_ms))
    )
    found = queue.take_hopeless(
        run_ms=_RUN_MS, answer_ms=_RUN_MS, above=above, slots=1
    )
    assert sorted(opening.key for opening in found) == sorted(
        flow_key(number) for number in hopeless
    )
    assert len(queue) == len(ages_ms) - len(hopeless)
