"""The interface to the amount of work at a target."""

from typing import Protocol


class TargetWork(Protocol):
    """Counts the requests at a target."""

    @property
    def requests(self) -> int:
        """Requests at the target, and new flows whose first one follows."""

    @property
    def slots(self) -> int:
        """Requests that the target processes at a time; at least 1."""

    def is_silent(self, duration_ms: float) -> bool:
        """Whether the target has sent nothing for some time."""
