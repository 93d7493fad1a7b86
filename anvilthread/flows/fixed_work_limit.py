"""A limit on the requests at a target that does not adapt."""

from typing import Final

from anvilthread.flows.target_watch import TargetWatch

#: Requests per slot: one that runs, and one in transit from its client, so
#: that no slot is idle for a round trip.
_REQUESTS_PER_SLOT: Final = 2

#: Weight of the last answer in the mean run time.
_ANSWER_WEIGHT: Final = 0.1

#: Part of a request that is left on average when another one arrives.
_RESIDUAL: Final = 0.5


class FixedWorkLimit:
    """Allows twice as many requests as the target has slots.

    Args:
        target: State of the target.
    """

    __slots__ = ('_run_ms', '_target')

    def __init__(self, *, target: TargetWatch) -> None:
        self._target = target
        self._run_ms: float = 0

    @property
    def limit(self) -> int:
        """Requests that may be at the target; at least 1."""
        return max(self._target.slots, 1) * _REQUESTS_PER_SLOT

    @property
    def run_ms(self) -> float:
        """Time for which a request occupies a slot; 0 if unknown."""
        return self._run_ms

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Records an answer of the target.

        Args:
            run_ms: Time from the request to the answer.
            working: Requests at the target when the answered one began,
                itself included.
        """
        slots = max(self._target.slots, 1)
        ahead = max(working - slots - _RESIDUAL, 0) / slots
        alone_ms = run_ms / (1 + ahead)
        if self._run_ms:
            alone_ms = (alone_ms - self._run_ms) * _ANSWER_WEIGHT + self._run_ms
        self._run_ms = alone_ms

    def on_refusal(self) -> None:
        """Does nothing: the limit is fixed."""

    def on_failure(self) -> None:
        """Does nothing: the limit is fixed."""

    def restart(self) -> None:
        """Discards the run time, for another incarnation of the target."""
        self._run_ms = 0
