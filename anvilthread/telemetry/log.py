"""The interface of structured logs."""

from typing import Protocol


class Log(Protocol):
    """One line of key=value pairs per event.

    Calls never block and never raise; lines that do not fit into the queue
    of the sink are dropped and counted.
    """

    def event(self, name: str, /, **fields: object) -> None:
        """Records an event.

        Args:
            name: Name of the event in snake case.
            fields: Fields of the event; names of times end in ``_ms``.
        """

    def warning(self, name: str, /, **fields: object) -> None:
        """Records an event that an operator should act on.

        Args:
            name: Name of the event in snake case.
            fields: Fields of the event; ``remedy`` must be one of them.
        """
