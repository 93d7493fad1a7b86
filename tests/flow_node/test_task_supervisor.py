"""Tasks that fail unexpectedly."""

import gevent
import pytest

from anvilthread.clock import ManualClock
from anvilthread.flow_node.task_supervisor import TaskSupervisor
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.telemetry.memory_log import MemoryLog


class _Task:
    """Fails a number of times, then succeeds."""

    def __init__(self, error: Exception, failures: int) -> None:
        self.runs = 0
        self._error = error
        self._failures = failures

    def run(self) -> None:
        """Counts the run."""
        self.runs += 1
        if self.runs <= self._failures:
            raise self._error


@pytest.mark.parametrize(
    'error', [ValueError('unforeseen'), KeyError('field'), OSError(9, 'closed')]
)
@pytest.mark.parametrize(
    ('failures', 'is_periodic', 'runs', 'logged'),
    [
        (0, False, 1, 0),
        (2, False, 3, 2),
        (100, False, 5, 5),
        (2, True, 40, 2),
        (100, True, 40, 40),
    ],
)
def test_failed_task_goes_on(
    error: Exception, failures: int, is_periodic: bool, runs: int, logged: int
) -> None:
    """Guards against an unexpected error that ends a task for good.

    A follower of the configuration that has ended leaves its process with an
    old version, and an agent without its reports gets no flows.
    """
    clock, log, counters = ManualClock(), MemoryLog(), FlowCounters()
    supervisor = TaskSupervisor(clock=clock, log=log, counters=counters)
    task = _Task(error, failures)
    if is_periodic:
        supervisor.run_periodically(100, task.run)
    else:
        supervisor.run(task.run)
    gevent.sleep(0)
    clock.advance(3950 if is_periodic else 4500)
    assert task.runs == runs
    assert len(log.named('task_failed')) == logged
    assert counters.counts.get('tasks_failed', 0) == logged
