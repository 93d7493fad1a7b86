"""Violations of guarantees."""


class Violation:
    """A line of a trace that violates a guarantee.

    Args:
        line: Number of the line in the trace.
        reason: How it violates the guarantee, in one clause.
    """

    __slots__ = ('_line', '_reason')

    def __init__(self, *, line: int, reason: str) -> None:
        self._line = line
        self._reason = reason

    @property
    def line(self) -> int:
        """Number of the line."""
        return self._line

    @property
    def reason(self) -> str:
        """How the line violates the guarantee."""
        return self._reason
