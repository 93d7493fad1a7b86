"""Estimated loads of the candidates of one service."""

import math
from collections.abc import Sequence
from statistics import median
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.routing.agent_load import AgentLoad
from anvilthread.routing.candidate import Candidate, eligible_candidates
from anvilthread.routing.load_report import FULL_WARMTH_PERCENT
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.rendezvous import best_two, hash_address

#: Warm-up progress assumed for a cold target before its first report.
INITIAL_WARMTH_PERCENT: Final = 20

_MIN_WARMTH_PERCENT: Final = 5
_FULL_CONFIDENCE_AGE_MS: Final = 3000
_CONFIDENCE_DECAY_MS: Final = 3000
# A higher value delays the correction of uneven load; with a lower value,
# several balancers that have just started correct the same imbalance twice.
_PRIOR_MULTIPLIER: Final = 4
_PRIOR_SENDS: Final = 2
_MAX_MULTIPLIER: Final = 100
_MIN_SENDS: Final = 8
# Reports of fewer connections than this fraction of the expected ones are
# treated as wrong.
_MIN_PLAUSIBLE_RATIO: Final = 0.7
# Candidates within this fraction of the median level above the lowest level are
# chosen by hash, so that a retransmitted first packet usually goes to the same
# agent.
_SLACK_RATIO: Final = 0.005
_SECOND_CHOICE_SHIFT: Final = 32


class CandidateLoad(msgspec.Struct, kw_only=True):
    """A candidate with its load and the values computed by a refresh."""

    candidate: Candidate
    load: AgentLoad
    node_hash: int
    weight: float = 1
    plausible: bool = True
    confidence: float = 0
    level: float = 0


class ServiceLevels:
    """Connections per weight of each candidate as estimated by a balancer.

    The estimate is the last report, minus estimated departures, plus this
    balancer's sends that the report does not include. Each such send is
    multiplied by the ratio of the sends of all balancers to those of this
    balancer. Agents without a usable report are estimated from the median level
    and this balancer's sends.

    Args:
        candidates: Agents of the service.
        table: Loads of the agents.
    """

    __slots__ = (
        '_candidates',
        '_node_hashes',
        '_table',
        '_weights',
        'levels',
        'members',
        'multiplier',
        'slack',
        'steps',
    )

    def __init__(
        self, *, candidates: Sequence[Candidate], table: LoadTable
    ) -> None:
        self._candidates = [
            (candidate, hash_address(candidate.agent))
            for candidate in eligible_candidates(candidates)
        ]
        self._table = table
        #: Candidates that accept new connections.
        self.members: list[CandidateLoad] = []
        self._node_hashes: list[int] = []
        self._weights: list[float] = []
        #: Connections per weight, by member.
        self.levels: list[float] = []
        #: Increase of the level per send of this balancer, by member.
        self.steps: list[float] = []
        #: Ratio of the sends of all balancers to those of this balancer, 1
        #: until known: with too high a value, correct reports would be treated
        #: as wrong.
        self.multiplier: float = 1
        #: Difference of levels up to which members are chosen by hash.
        self.slack: float = 0

    @property
    def agents(self) -> list[Address]:
        """Addresses of all candidates that are not draining."""
        return [candidate.agent for candidate, _ in self._candidates]

    def choose(
        self, key_hash: int
    ) -> tuple[CandidateLoad, CandidateLoad | None]:
        """Chooses two members and increases the level of the first.

        Args:
            key_hash: Hash of the flow key.

        Returns:
            The member for the flow and the alternate; None if there is no other
            member.

        Raises:
            ValueError: If no member accepts new connections.
        """
        levels = self.levels
        limit = min(levels) + self.slack
        first, second = best_two(
            key_hash,
            self._node_hashes,
            self._weights,
            [index for index, level in enumerate(levels) if level <= limit],
        )
        if second < 0 and len(levels) > 1:
            second = self._choose_alternate(first, key_hash)
        levels[first] += self.steps[first]
        return (
            self.members[first],
            None if second < 0 else self.members[second],
        )

    def _choose_alternate(self, index: int, key_hash: int) -> int:
        """Returns the member with the lower level of two selected by the key.

        With the lowest member of all, everything that an agent over its
        admission bound passes on would go to a single alternate until the next
        report.
        """
        count = len(self.levels) - 1
        offsets = (key_hash % count, (key_hash >> _SECOND_CHOICE_SHIFT) % count)
        others = [(index + 1 + offset) % (count + 1) for offset in offsets]
        return min(others, key=self.levels.__getitem__)

    def refresh(self, now_ms: int) -> None:
        """Recomputes all levels from the loads."""
        members = self._eligible_members()
        multiplier = _multiplier(members, _PRIOR_MULTIPLIER)
        departure_rate = _departure_rate(members)
        for member in members:
            member.load.decay(departure_rate, now_ms)
            member.weight = _weight(member)
            member.plausible = _is_plausible(member, multiplier)
            member.confidence = _confidence(member, now_ms)
            member.level = _estimated_level(
                member, multiplier, departure_rate, now_ms
            )
        self.members = members
        self.multiplier = _multiplier(members, 1)
        self._blend_unreliable()
        self.levels = [member.level for member in members]
        self.steps = [multiplier / member.weight for member in members]
        self._node_hashes = [member.node_hash for member in members]
        self._weights = [member.weight for member in members]

    def _eligible_members(self) -> list[CandidateLoad]:
        members = []
        for candidate, node_hash in self._candidates:
            load = self._table.load(candidate.agent)
            if load.report is None or not load.report.draining:
                members.append(
                    CandidateLoad(
                        candidate=candidate, load=load, node_hash=node_hash
                    )
                )
        return members

    def _blend_unreliable(self) -> None:
        """Adjusts members with an unreliable report towards the median level."""
        members = self.members
        reliable = [member for member in members if member.confidence == 1]
        median_level = _median_or_zero(
            [member.level for member in reliable or members]
        )
        expected = _median_or_zero(
            [member.load.expected / member.weight for member in members]
        )
        self.slack = median_level * _SLACK_RATIO
        for member in members:
            if member.confidence < 1:
                level = median_level + _excess(member, median_level, expected)
                member.level += (1 - member.confidence) * (level - member.level)


def _weight(member: CandidateLoad) -> float:
    report = member.load.report
    warmth = FULL_WARMTH_PERCENT
    if report is not None:
        warmth = max(report.warmth_percent, _MIN_WARMTH_PERCENT)
    elif member.candidate.cold:
        warmth = INITIAL_WARMTH_PERCENT
    return member.candidate.weight * warmth / FULL_WARMTH_PERCENT


def _multiplier(members: Sequence[CandidateLoad], prior: float) -> float:
    """Returns the ratio of the sends of all balancers to this balancer's.

    Args:
        members: Candidates whose reports are used.
        prior: Result without any reports.
    """
    statistics = [member.load.statistics for member in members]
    placed = sum(entry.placed for entry in statistics)
    received = sum(entry.received for entry in statistics)
    ratio = (placed + prior * _PRIOR_SENDS) / (received + _PRIOR_SENDS)
    return min(max(ratio, 1), _MAX_MULTIPLIER)


def _departure_rate(members: Sequence[CandidateLoad]) -> float:
    rates = [member.load.statistics.departure_rate for member in members]
    return _median_or_zero([rate for rate in rates if rate is not None])


def _is_plausible(member: CandidateLoad, multiplier: float) -> bool:
    """Tells whether the last report is consistent with this balancer's sends."""
    load = member.load
    if load.report is None or not load.statistics.confirms_sends:
        return load.report is None
    included = load.expected - multiplier * load.pending
    return included <= multiplier * _MIN_SENDS or (
        load.report.connections >= included * _MIN_PLAUSIBLE_RATIO
    )


def _confidence(member: CandidateLoad, now_ms: int) -> float:
    if member.load.report is None or not member.plausible:
        return 0
    excess_age_ms = now_ms - member.load.reported_ms - _FULL_CONFIDENCE_AGE_MS
    return min(max(1 - excess_age_ms / _CONFIDENCE_DECAY_MS, 0), 1)


def _estimated_level(
    member: CandidateLoad,
    multiplier: float,
    departure_rate: float,
    now_ms: int,
) -> float:
    load = member.load
    if load.report is None:
        return 0
    age_ms = now_ms - load.reported_ms
    open_connections = load.report.connections * math.exp(
        -departure_rate * age_ms
    )
    return (open_connections + multiplier * load.pending) / member.weight


def _excess(
    member: CandidateLoad, median_level: float, expected: float
) -> float:
    """Returns the estimated excess of a member's level over the median level.

    A member that stops reporting keeps its last level, but at least the median
    level: it may have failed, and evening out the difference would send it most
    new connections. A member with implausible reports is compared only by the
    sends of this balancer.
    """
    load = member.load
    excess = load.expected / member.weight - expected
    if load.report is not None and not member.plausible:
        return excess
    if load.stale_offset is None:
        load.stale_offset = max(member.level - median_level, 0) - excess
    return excess + load.stale_offset


def _median_or_zero(values: Sequence[float]) -> float:
    return median(values) if values else 0
