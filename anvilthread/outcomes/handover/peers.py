"""The interface that lists other agents."""

from collections.abc import Sequence
from typing import Protocol

from anvilthread.outcomes.handover.peer import Peer


class Peers(Protocol):
    """Agents of a service that accept requests."""

    def list_peers(self, service: int) -> Sequence[Peer]:
        """Returns the live agents of a service that are not draining."""
