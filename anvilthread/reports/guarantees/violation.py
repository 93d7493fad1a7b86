"""What a trace shows against a guarantee."""


class Violation:
    """The first line that breaks a guarantee.

    Args:
        line: Number of the line in the trace.
        reason: What it shows, in one clause.
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
        """What the line shows."""
        return self._reason
