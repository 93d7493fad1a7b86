"""What the configuration says about the requests of a service."""

from typing import Protocol


class ServiceRules(Protocol):
    """Settings of one service that decide how its requests are treated."""

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tells whether a request may run more than once."""

    def takes_slot(self, path: str) -> bool:
        """Tells whether a request is no long stream."""

    @property
    def deadline_ms(self) -> int:
        """Time to answer when the client states none."""
