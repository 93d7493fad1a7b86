"""Baseline: placement on the agent with the lowest reported load."""

from collections.abc import Sequence

from anvilthread.routing.candidate import Candidate, eligible_candidates
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.placement_decision import PlacementDecision


class LeastLoadedPlacement:
    """Uses the last report of each agent unchanged, regardless of its age.

    Args:
        table: Loads of the agents.
    """

    __slots__ = ('_services', '_table')

    def __init__(self, *, table: LoadTable) -> None:
        self._table = table
        self._services: dict[int, list[Candidate]] = {}

    def update(self, service: int, candidates: Sequence[Candidate]) -> None:
        """Replaces the candidates of a service."""
        self._services[service] = eligible_candidates(candidates)

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Chooses the two candidates with the lowest reported load."""
        ordered = sorted(self._services.get(service, ()), key=self._level)
        if not ordered:
            return None
        return PlacementDecision(
            agent=ordered[0].agent,
            alternate=ordered[1].agent if len(ordered) > 1 else None,
        )

    def _level(self, candidate: Candidate) -> float:
        report = self._table.load(candidate.agent).report
        return report.connections / candidate.weight if report else 0
