"""The interface of structured logs."""

from typing import Protocol


class Log(Protocol):
    """One line of key=value pairs per event.

    Calls never block and never raise; lines that do not fit into the queue
    of the sink are dropped and counted.
    """

    def event(self, name: str, /, **fields: object) -> None:
        """Records what happened.

        Args:
            name: Name of the event in snake case.
            fields: What belongs to it; times end in ``_ms``.
        """

    def warning(self, name: str, /, **fields: object) -> None:
        """Records an event that an operator should act on.

        Args:
            name: Name of the event in snake case.
            fields: What belongs to it, with ``remedy`` as one of them.
        """
