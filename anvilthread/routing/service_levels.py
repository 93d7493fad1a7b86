"""Estimated loads of the candidates of one service."""

import math
from collections.abc import Sequence
from statistics import median
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.routing.agent_load import AgentLoad
from anvilthread.routing.candidate import Candidate, takes_new
from anvilthread.routing.load_report import FULL_WARMTH_PERCENT
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.rendezvous import best_two, hash_address

#: Weight of a cold target before its first report.
INITIAL_WARMTH_PERCENT: Final = 20

_LEAST_WARMTH_PERCENT: Final = 5
_TRUSTED_AGE_MS: Final = 3000
_DISCOUNT_MS: Final = 3000
# Too high a value delays the correction of an uneven load; too low a value
# lets several balancers that have just started correct it twice.
_PRIOR_MULTIPLIER: Final = 4
_PRIOR_SENDS: Final = 2
_MAX_MULTIPLIER: Final = 100
_FEWEST_SENDS: Final = 8
# Reports of fewer connections than this part of the expected ones mislead.
_LEAST_PLAUSIBLE: Final = 0.7
# Candidates within this part of the usual level are chosen by hash, so that
# a repeated first packet usually goes to the same agent.
_SLACK: Final = 0.005
_OTHER_SHIFT: Final = 32


class CandidateLoad(msgspec.Struct, kw_only=True):
    """A candidate, its load and the working values of one refresh."""

    candidate: Candidate
    load: AgentLoad
    node_hash: int
    weight: float = 1
    plausible: bool = True
    confidence: float = 0
    level: float = 0


class ServiceLevels:
    """Connections per weight of each candidate, by one balancer's estimate.

    The estimate is the last report, less departures and plus own sends that
    the report does not include. An own send counts as many times as all
    balancers together send for one of this balancer's. Agents without a
    usable report are held at this balancer's usual share.

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
            for candidate in takes_new(candidates)
        ]
        self._table = table
        #: Candidates that take new connections.
        self.members: list[CandidateLoad] = []
        self._node_hashes: list[int] = []
        self._weights: list[float] = []
        #: Connections per weight, by member.
        self.levels: list[float] = []
        #: Rise of the level with one own send, by member.
        self.steps: list[float] = []
        #: Sends of all balancers for one of this balancer's, 1 until known:
        #: too high a value would make true reports look misleading.
        self.multiplier: float = 1
        #: Difference of levels that is not worth another agent.
        self.slack: float = 0

    @property
    def agents(self) -> list[Address]:
        """Addresses of all candidates that are not draining."""
        return [candidate.agent for candidate, _ in self._candidates]

    def choose(
        self, key_hash: int
    ) -> tuple[CandidateLoad, CandidateLoad | None]:
        """Chooses two members and raises the level of the first.

        Args:
            key_hash: Hash of the flow key.

        Returns:
            The member for the flow and, if there is another, the alternate.

        Raises:
            ValueError: If no member takes new connections.
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
            second = self._other(first, key_hash)
        levels[first] += self.steps[first]
        return (
            self.members[first],
            None if second < 0 else self.members[second],
        )

    def _other(self, index: int, key_hash: int) -> int:
        """Returns the lower of two members that the key selects.

        Taking the lowest of all would send everything that an agent over its
        bound passes on to a single alternate until its next report.
        """
        count = len(self.levels) - 1
        offsets = (key_hash % count, (key_hash >> _OTHER_SHIFT) % count)
        others = [(index + 1 + offset) % (count + 1) for offset in offsets]
        return min(others, key=self.levels.__getitem__)

    def refresh(self, now_ms: int) -> None:
        """Computes all levels from the loads."""
        members = self._open_members()
        multiplier = _multiplier(members, _PRIOR_MULTIPLIER)
        departure_rate = _departure_rate(members)
        for member in members:
            member.load.decay(departure_rate, now_ms)
            member.weight = _weight(member)
            member.plausible = _is_plausible(member, multiplier)
            member.confidence = _confidence(member, now_ms)
            member.level = _reported(member, multiplier, departure_rate, now_ms)
        self.members = members
        self.multiplier = _multiplier(members, 1)
        self._discount()
        self.levels = [member.level for member in members]
        self.steps = [multiplier / member.weight for member in members]
        self._node_hashes = [member.node_hash for member in members]
        self._weights = [member.weight for member in members]

    def _open_members(self) -> list[CandidateLoad]:
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

    def _discount(self) -> None:
        """Moves members without a usable report to their usual share."""
        members = self.members
        reliable = [member for member in members if member.confidence == 1]
        usual = _usual([member.level for member in reliable or members])
        expected = _usual(
            [member.load.expected / member.weight for member in members]
        )
        self.slack = usual * _SLACK
        for member in members:
            if member.confidence < 1:
                level = usual + _lead(member, usual, expected)
                member.level += (1 - member.confidence) * (level - member.level)


def _weight(member: CandidateLoad) -> float:
    report = member.load.report
    warmth = FULL_WARMTH_PERCENT
    if report is not None:
        warmth = max(report.warmth_percent, _LEAST_WARMTH_PERCENT)
    elif member.candidate.cold:
        warmth = INITIAL_WARMTH_PERCENT
    return member.candidate.weight * warmth / FULL_WARMTH_PERCENT


def _multiplier(members: Sequence[CandidateLoad], prior: float) -> float:
    """Returns the sends of all balancers for one of this balancer's.

    Args:
        members: Candidates whose reports are compared.
        prior: Result without reports.
    """
    statistics = [member.load.statistics for member in members]
    placed = sum(entry.placed for entry in statistics)
    received = sum(entry.received for entry in statistics)
    ratio = (placed + prior * _PRIOR_SENDS) / (received + _PRIOR_SENDS)
    return min(max(ratio, 1), _MAX_MULTIPLIER)


def _departure_rate(members: Sequence[CandidateLoad]) -> float:
    rates = [member.load.statistics.departure_rate for member in members]
    return _usual([rate for rate in rates if rate is not None])


def _is_plausible(member: CandidateLoad, multiplier: float) -> bool:
    """Tells whether the last report agrees with this balancer's sends."""
    load = member.load
    if load.report is None or not load.statistics.confirms_sends:
        return load.report is None
    visible = load.expected - multiplier * load.pending
    return visible <= multiplier * _FEWEST_SENDS or (
        load.report.connections >= visible * _LEAST_PLAUSIBLE
    )


def _confidence(member: CandidateLoad, now_ms: int) -> float:
    if member.load.report is None or not member.plausible:
        return 0
    over_ms = now_ms - member.load.reported_ms - _TRUSTED_AGE_MS
    return min(max(1 - over_ms / _DISCOUNT_MS, 0), 1)


def _reported(
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


def _lead(member: CandidateLoad, usual: float, expected: float) -> float:
    """Returns by how much a member is above the usual level.

    A member that falls silent keeps its last level, but at least the usual
    one: it may have failed, and catching up would send it most new
    connections. One with misleading reports is compared by own sends alone.
    """
    load = member.load
    lead = load.expected / member.weight - expected
    if load.report is not None and not member.plausible:
        return lead
    if load.handicap is None:
        load.handicap = max(member.level - usual, 0) - lead
    return lead + load.handicap


def _usual(values: Sequence[float]) -> float:
    return median(values) if values else 0
