"""Local health as in Lifeguard."""

from typing import Final

#: Limits probe periods and timeouts to four times their normal duration.
_MAX_SCORE: Final = 3


class LocalHealth:
    """Counts indications that this node is slow, rather than its peers."""

    __slots__ = ('_score',)

    def __init__(self) -> None:
        self._score = 0

    @property
    def multiplier(self) -> int:
        """Factor for probe periods and timeouts, 1 to 4."""
        return 1 + self._score

    def record_success(self) -> None:
        """Records a probe that was answered in time."""
        self._score = max(0, self._score - 1)

    def record_failure(self) -> None:
        """Records a late timer, a lack of contact or a suspicion of this node."""
        self._score = min(_MAX_SCORE, self._score + 1)
