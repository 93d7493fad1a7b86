"""What the limit on the requests at a target learns."""

from typing import Final

from anvilthread.flows.work_limit import WorkLimit

#: Lowest status that indicates a server error, and the ones that say that the
#: server is overloaded (RFC 9110).
_MIN_SERVER_ERROR: Final = 500
_OVERLOAD_STATUSES: Final = frozenset((429, 503))


class WorkObserver:
    """Tells a limit of the outcomes of requests.

    Args:
        work_limit: The limit; None if there is none.
    """

    __slots__ = ('_work_limit',)

    def __init__(self, *, work_limit: WorkLimit | None) -> None:
        self._work_limit = work_limit

    def on_answer(self, *, status: int, run_ms: int, working: int) -> None:
        """Records an answer of the target.

        Args:
            status: Status of the answer; 0 if it could not be read.
            run_ms: Time from the request to the answer.
            working: Requests at the target when the answered one began,
                itself included.
        """
        if self._work_limit is None:
            return
        if status in _OVERLOAD_STATUSES:
            self._work_limit.on_refusal()
        elif status >= _MIN_SERVER_ERROR:
            self._work_limit.on_failure()
        else:
            self._work_limit.on_answer(run_ms=run_ms, working=working)

    def on_refusal(self) -> None:
        """Records an opening packet that the target has returned."""
        if self._work_limit is not None:
            self._work_limit.on_refusal()

    def on_failure(self) -> None:
        """Records a request that was reset, or a silent target."""
        if self._work_limit is not None:
            self._work_limit.on_failure()

    def restart(self) -> None:
        """Records another incarnation of the target."""
        if self._work_limit is not None:
            self._work_limit.restart()
