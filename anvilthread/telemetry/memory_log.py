"""Structured logs kept in memory."""

from anvilthread.telemetry.log_entry import LogEntry


class MemoryLog:
    """Keeps every event, for tests and for embedding programs."""

    __slots__ = ('_entries',)

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []

    @property
    def entries(self) -> tuple[LogEntry, ...]:
        """Every event so far, oldest first."""
        return tuple(self._entries)

    def named(self, name: str) -> tuple[LogEntry, ...]:
        """Every event with the given name, oldest first."""
        return tuple(entry for entry in self._entries if entry.name == name)

    def event(self, name: str, /, **fields: object) -> None:
        """Records an event."""
        self._entries.append(LogEntry(level='info', name=name, fields=fields))

    def warning(self, name: str, /, **fields: object) -> None:
        """Records an event that an operator should act on."""
        self._entries.append(
            LogEntry(level='warning', name=name, fields=fields)
        )
