"""The interface to a limit on the requests at a target."""

from typing import Protocol


class WorkLimit(Protocol):
    """Limits the requests that are at a target at a time."""

    @property
    def limit(self) -> int:
        """Requests that may be at the target; at least 1."""

    @property
    def run_ms(self) -> float:
        """Time for which a request occupies a slot; 0 if unknown."""

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Records an answer of the target.

        Args:
            run_ms: Time from the request to the answer.
            working: Requests at the target when the answered one began,
                itself included.
        """

    def on_refusal(self) -> None:
        """Records that the target was full."""

    def on_failure(self) -> None:
        """Records a failed or unanswered request."""

    def restart(self) -> None:
        """Discards what was learned, for another incarnation of the target."""
