"""Baseline: placement by weighted rendezvous hashing alone."""

from collections.abc import Sequence
from typing import Final

import msgspec

from anvilthread.routing.candidate import Candidate, eligible_candidates
from anvilthread.routing.placement_decision import PlacementDecision
from anvilthread.routing.rendezvous import best_two, hash_address, hash_key


class _Service(msgspec.Struct, kw_only=True):
    candidates: list[Candidate]
    node_hashes: list[int]
    weights: list[float]


_EMPTY: Final = _Service(candidates=[], node_hashes=[], weights=[])


class RendezvousPlacement:
    """Places each flow key on the candidate with the highest score."""

    __slots__ = ('_services',)

    def __init__(self) -> None:
        self._services: dict[int, _Service] = {}

    def update(self, service: int, candidates: Sequence[Candidate]) -> None:
        """Replaces the candidates of a service."""
        eligible = eligible_candidates(candidates)
        self._services[service] = _Service(
            candidates=eligible,
            node_hashes=[hash_address(entry.agent) for entry in eligible],
            weights=[entry.weight for entry in eligible],
        )

    def place(self, service: int, flow_key: bytes) -> PlacementDecision | None:
        """Chooses the two candidates with the highest scores."""
        nodes = self._services.get(service, _EMPTY)
        if not nodes.candidates:
            return None
        first, second = best_two(
            hash_key(flow_key),
            nodes.node_hashes,
            nodes.weights,
            range(len(nodes.candidates)),
        )
        return PlacementDecision(
            agent=nodes.candidates[first].agent,
            alternate=None if second < 0 else nodes.candidates[second].agent,
        )
