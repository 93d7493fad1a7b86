"""Counts of events of flows."""


class FlowCounters:
    """Counts by event name, exported by the metrics of the process."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    @property
    def counts(self) -> dict[str, int]:
        """Count of each event since the start of the process."""
        return dict(self._counts)

    def add(self, name: str, amount: int = 1) -> None:
        """Adds to the count of an event."""
        self._counts[name] = self._counts.get(name, 0) + amount
