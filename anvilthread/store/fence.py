"""Protection against the late actions of former lease holders."""


class Fence:
    """Remembers the highest fencing number it was shown."""

    __slots__ = ('_highest',)

    def __init__(self) -> None:
        self._highest = 0

    def admits(self, fencing: int) -> bool:
        """Tells whether no later holder has been seen."""
        self._highest = max(self._highest, fencing)
        return fencing == self._highest
