"""The placement interface."""

from collections.abc import Sequence
from typing import Protocol

from anvilthread.routing.candidate import Candidate
from anvilthread.routing.placement_decision import PlacementDecision


class Placement(Protocol):
    """Chooses agents for the first packets of connections."""

    def update(self, service: int, candidates: Sequence[Candidate]) -> None:
        """Replaces the candidates of a service.

        Args:
            service: Number of the service.
            candidates: All agents of the service in the current membership
                view; an empty sequence removes the service.
        """

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Chooses an agent and an alternate.

        Args:
            service: Number of the service.
            flow_key: Bytes that stay the same when a client retransmits its
                first packet, for example its address and connection ID.

        Returns:
            The decision, or None if no agent of the service accepts new
            connections.
        """
