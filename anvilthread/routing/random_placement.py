"""Baseline: placement by weighted random choice."""

from collections.abc import Sequence
from random import Random

from anvilthread.routing.candidate import Candidate, eligible_candidates
from anvilthread.routing.placement_decision import PlacementDecision


class RandomPlacement:
    """Places each first packet on a random candidate.

    Args:
        random: Random number generator for the choices.
    """

    __slots__ = ('_random', '_services')

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._services: dict[int, list[Candidate]] = {}

    def update(self, service: int, candidates: Sequence[Candidate]) -> None:
        """Replaces the candidates of a service."""
        self._services[service] = eligible_candidates(candidates)

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Chooses an agent and a different alternate at random."""
        candidates = self._services.get(service)
        if not candidates:
            return None
        chosen = self._choose(candidates)
        others = [entry for entry in candidates if entry is not chosen]
        return PlacementDecision(
            agent=chosen.agent,
            alternate=self._choose(others).agent if others else None,
        )

    def _choose(self, candidates: Sequence[Candidate]) -> Candidate:
        weights = [candidate.weight for candidate in candidates]
        return self._random.choices(candidates, weights)[0]
