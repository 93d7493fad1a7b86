"""The interface to a limit on the rate of new flows at a target."""

from typing import Protocol


class OpeningLimit(Protocol):
    """Limits the opening packets that a target receives per second."""

    @property
    def has_room(self) -> bool:
        """Whether the target may receive one more opening packet now."""

    def record(self) -> None:
        """Counts an opening packet that was handed to the target."""
