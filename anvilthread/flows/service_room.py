"""Load shedding: which new flows of a service are refused at once."""

import zlib
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.flow_key import FlowKey
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_table import RouteTable

#: Wait after which an opening packet is abandoned: clients give up after 1.4 s.
_MAX_WAIT_MS: Final = 1300

#: Share of the longest tolerable wait below which no flow is refused.
_FREE_SHARE: Final = 0.5

#: Minimum range of waits over which the share refused rises from 0 to 1, as a
#: multiple of the age of the reports. Over a shorter range the share overshoots
#: before its effect is reported: with reports up to 1.5 s old and 180% load, 9%
#: of the capacity is idle at 0.5, 1% at 0.75 and none at 1. A longer range
#: makes the wait longer.
_RANGE_PER_AGE: Final = 1

#: Time for which the shortest wait of a service is kept. Not above the shortest
#: period of reports (100 ms).
_KEEP_MS: Final = 100

#: Added to the key of a flow to select the refused independently of the hash
#: that selects its service and agent.
_SALT: Final = b'room'
_HASH_RANGE: Final = 1 << 32


class ServiceRoom:
    """Refuses new flows that no target of a service could serve in time.

    The share refused depends only on reports, which all balancers receive, so
    that it is about the same at each of them.

    Args:
        clock: Clock for the age of reports.
        roster: The agents and their reports.
    """

    __slots__ = ('_clock', '_roster', '_shortest')

    def __init__(self, *, clock: Clock, roster: Roster) -> None:
        self._clock = clock
        self._roster = roster
        #: Time of the calculation, shortest wait and age of its report.
        self._shortest: dict[str, tuple[int, float, int]] = {}

    def admits(self, service: str, key: FlowKey, table: RouteTable) -> bool:
        """Whether a new flow may be placed.

        Args:
            service: Service of the flow.
            key: The flow.
            table: Configuration in force.
        """
        lowest = table.lowest_class_of(service)
        route = table.route_of(key)
        if lowest is None or route is None:
            return True
        wait_ms, age_ms = self._shortest_wait(service)
        share = refused_share(
            wait_ms=wait_ms,
            age_ms=age_ms,
            objective_ms=lowest.objective_ms,
            is_lowest=route.traffic.priority >= lowest.priority,
        )
        return zlib.crc32(key + _SALT) >= share * _HASH_RANGE

    def _shortest_wait(self, service: str) -> tuple[float, int]:
        """Returns the shortest reported wait, and the age of its report."""
        now_ms = self._clock.now_ms()
        kept = self._shortest.get(service)
        if kept is None or now_ms - kept[0] > _KEEP_MS:
            kept = (now_ms, *self._find_shortest(service, now_ms))
            self._shortest[service] = kept
        return kept[1:]

    def _find_shortest(self, service: str, now_ms: int) -> tuple[float, int]:
        shortest: tuple[float, int] | None = None
        for node in self._roster.agents(service):
            if not _is_usable(node, now_ms):
                continue
            wait = (_remaining_wait_ms(node, now_ms), _age_ms(node, now_ms))
            if not wait[0]:
                return wait
            shortest = wait if shortest is None else min(shortest, wait)
        return (0, 0) if shortest is None else shortest


def refused_share(
    *, wait_ms: float, age_ms: int, objective_ms: int, is_lowest: bool
) -> float:
    """Returns the share of new flows of a class that is refused.

    Other classes are refused only once the lowest one is refused entirely.

    Args:
        wait_ms: Shortest wait at any target of the service.
        age_ms: Age of the reports.
        objective_ms: Latency objective of the lowest class.
        is_lowest: Whether the class is the lowest one.
    """
    range_ms = max(_FREE_SHARE * objective_ms, _RANGE_PER_AGE * age_ms)
    first_ms = _FREE_SHARE * objective_ms
    if not is_lowest:
        first_ms = max(_FREE_SHARE * _MAX_WAIT_MS, first_ms + range_ms)
        range_ms = max(_FREE_SHARE * _MAX_WAIT_MS, range_ms)
    return min(max((wait_ms - first_ms) / range_ms, 0), 1)


def _is_usable(node: KnownNode, now_ms: int) -> bool:
    """Whether a wait of the node counts: it takes flows and has reported."""
    return node.accepts and not node.is_failing and node.is_fresh(now_ms)


def _remaining_wait_ms(node: KnownNode, now_ms: int) -> float:
    """Returns the reported wait; 0 if it may have passed since the report."""
    reported_ms = node.wait.reported_ms
    return reported_ms if reported_ms > node.age_ms(now_ms) else 0


def _age_ms(node: KnownNode, now_ms: int) -> int:
    """Returns the highest age that the report of a node reaches."""
    report = node.report
    period_ms = 0 if report is None else report.period_ms
    return max(node.age_ms(now_ms), period_ms)
