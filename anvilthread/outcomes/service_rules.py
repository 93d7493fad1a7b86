"""The interface to the request settings of a service."""

from typing import Protocol


class ServiceRules(Protocol):
    """Settings of one service that decide how its requests are treated."""

    def is_idempotent(self, method: str, path: str) -> bool:
        """Returns whether a request may run more than once."""

    def takes_slot(self, path: str) -> bool:
        """Returns whether a request takes a slot; long streams do not."""

    @property
    def deadline_ms(self) -> int:
        """Time to answer when the client sets no deadline."""
