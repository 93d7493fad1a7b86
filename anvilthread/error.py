"""Base type of every error that anvilthread reports."""


class AnvilthreadError(Exception):
    """An error with a reason and the remedy for it.

    Args:
        reason: What went wrong, in one clause.
        remedy: What the reader can do about it, in one clause.
    """

    def __init__(self, *, reason: str, remedy: str) -> None:
        super().__init__(reason, remedy)
        self._reason = reason
        self._remedy = remedy

    @property
    def reason(self) -> str:
        """What went wrong."""
        return self._reason

    @property
    def remedy(self) -> str:
        """What the reader can do about it."""
        return self._remedy

    def __str__(self) -> str:
        return f'{self._reason}; {self._remedy}'
