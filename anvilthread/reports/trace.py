"""A recorded trace in memory."""

from collections.abc import Iterator, Sequence
from typing import Generic, TypeVar

from anvilthread.reports.trace_event import TraceEvent

EventT_co = TypeVar('EventT_co', bound=TraceEvent, covariant=True)
EventT = TypeVar('EventT', bound=TraceEvent)


class TraceLine(Generic[EventT_co]):
    """An event and its line number.

    Args:
        number: Number of the line, from 1.
        event: The event.
    """

    __slots__ = ('_event', '_number')

    def __init__(self, *, number: int, event: EventT_co) -> None:
        self._number = number
        self._event = event

    @property
    def number(self) -> int:
        """Number of the line, from 1."""
        return self._number

    @property
    def event(self) -> EventT_co:
        """The event."""
        return self._event


class Trace:
    """Every event of a trace in the order of the file.

    Args:
        lines: The events with their line numbers.
    """

    __slots__ = ('_lines',)

    def __init__(self, *, lines: Sequence[TraceLine[TraceEvent]]) -> None:
        self._lines = tuple(lines)

    @property
    def lines(self) -> tuple[TraceLine[TraceEvent], ...]:
        """Every event with its line number."""
        return self._lines

    @property
    def end_ms(self) -> int:
        """Time of the latest event; 0 for an empty trace."""
        return max((line.event.ts_ms for line in self._lines), default=0)

    def of_type(self, event_type: type[EventT]) -> Iterator[TraceLine[EventT]]:
        """Yields the events of one type."""
        for line in self._lines:
            event = line.event
            if isinstance(event, event_type):
                yield TraceLine(number=line.number, event=event)
