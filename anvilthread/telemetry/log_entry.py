"""Log events kept in memory."""

from collections.abc import Mapping


class LogEntry:
    """A recorded event.

    Args:
        level: ``info`` or ``warning``.
        name: Name of the event.
        fields: Fields of the event.
    """

    __slots__ = ('_fields', '_level', '_name')

    def __init__(
        self, *, level: str, name: str, fields: Mapping[str, object]
    ) -> None:
        self._level = level
        self._name = name
        self._fields = dict(fields)

    @property
    def level(self) -> str:
        """``info`` or ``warning``."""
        return self._level

    @property
    def name(self) -> str:
        """Name of the event."""
        return self._name

    @property
    def fields(self) -> dict[str, object]:
        """Fields of the event."""
        return dict(self._fields)
