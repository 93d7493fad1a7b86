"""Tasks that go on after an unexpected error."""

from collections.abc import Callable
from typing import Final

import gevent

from anvilthread.clock import Clock
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.telemetry.log import Log

#: Delay before a task that has failed is started again, which bounds the rate
#: of its log lines.
_RESTART_DELAY_MS: Final = 1000

Task = Callable[[], None]


class TaskSupervisor:
    """Runs the tasks of a process, and starts them again if they fail.

    An error that nobody has foreseen must not end a task for good: without
    its reports or its configuration, a process goes on and does harm.

    Args:
        clock: Source of delays.
        log: Receives one line per failure.
        counters: Counts failures.
    """

    __slots__ = ('_clock', '_counters', '_log')

    def __init__(
        self, *, clock: Clock, log: Log, counters: FlowCounters
    ) -> None:
        self._clock = clock
        self._log = log
        self._counters = counters

    def run(self, task: Task) -> None:
        """Runs a task until it returns."""
        gevent.spawn(self._run, task)

    def run_periodically(self, period_ms: int, task: Task) -> None:
        """Runs a task again and again.

        Args:
            period_ms: Time from the end of a run to the start of the next one.
            task: The task; a run that fails does not delay the next one.
        """
        gevent.spawn(self._repeat, period_ms, task)

    def _run(self, task: Task) -> None:
        while not self._succeeds(task):
            self._clock.sleep_ms(_RESTART_DELAY_MS)

    def _repeat(self, period_ms: int, task: Task) -> None:
        while True:
            self._succeeds(task)
            self._clock.sleep_ms(period_ms)

    def _succeeds(self, task: Task) -> bool:
        try:
            task()
        except Exception as error:  # noqa: BLE001
            self._counters.add('tasks_failed')
            self._log.warning(
                'task_failed',
                task=getattr(task, 'func', task).__qualname__,
                reason=repr(error),
                remedy='report this line to the maintainers',
            )
            return False
        return True
