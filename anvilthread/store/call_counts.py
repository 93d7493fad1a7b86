"""Numbers of calls to the store."""

from anvilthread.store.call_kind import CallKind


class CallCounts:
    """Counts calls by kind."""

    __slots__ = ('_numbers',)

    def __init__(self) -> None:
        self._numbers = dict.fromkeys(CallKind, 0)

    def count(self, kind: CallKind) -> None:
        """Adds one call."""
        self._numbers[kind] += 1

    def number(self, kind: CallKind) -> int:
        """Returns the calls of one kind."""
        return self._numbers[kind]

    @property
    def total(self) -> int:
        """Calls of all kinds."""
        return sum(self._numbers.values())
