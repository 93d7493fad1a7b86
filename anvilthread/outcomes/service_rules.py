"""What the configuration says about the requests of a service."""

from collections.abc import Collection
from typing import Protocol


class ServiceRules(Protocol):
    """Settings of one service that decide how its requests are treated."""

    @property
    def non_idempotent_methods(self) -> Collection[str]:
        """Methods that must not run twice, in capitals."""

    @property
    def non_idempotent_paths(self) -> Collection[str]:
        """Path prefixes whose requests must not run twice by any method."""

    @property
    def stream_paths(self) -> Collection[str]:
        """Path prefixes whose answers may last without limit."""

    @property
    def default_deadline_ms(self) -> int:
        """Time to answer when the client states none."""

    @property
    def max_deadline_ms(self) -> int:
        """Longest time to answer that a client may state."""
