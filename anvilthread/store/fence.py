"""Protection against late requests of former lease holders."""


class Fence:
    """Tracks the highest fencing number seen so far."""

    __slots__ = ('_highest',)

    def __init__(self) -> None:
        self._highest = 0

    def admits(self, fencing: int) -> bool:
        """Returns whether no later holder has been seen."""
        self._highest = max(self._highest, fencing)
        return fencing == self._highest
