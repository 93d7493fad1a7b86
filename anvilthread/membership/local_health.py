"""Lifeguard local health."""

from typing import Final

#: Keeps the slowest probe at four times its normal duration.
_WORST: Final = 3


class LocalHealth:
    """Counts signs that this node, and not its peers, is slow."""

    __slots__ = ('_score',)

    def __init__(self) -> None:
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Factor for probe periods and timeouts, 1 to 4."""
        return 1 + self._score

    def succeed(self) -> None:
        """Records a probe that was answered in time."""
        self._score = max(0, self._score - 1)

    def fail(self) -> None:
        """Records a late timer, an isolated probe or an own suspicion."""
        self._score = min(_WORST, self._score + 1)
