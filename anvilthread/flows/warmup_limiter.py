"""Limits the opening packets that reach a cold target."""

import math
from collections import deque
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.target_watch import TargetWatch

#: Length of the window of the limit, plus the maximum variation of the delay
#: between agent and target, which share a VM. Without it, a burst that is
#: delayed and the burst one second later would reach the target within less
#: than a second. It also covers that the clock truncates to whole ms.
_WINDOW_MS: Final = 1000 + 20

#: Share of the limit that is left unused, at least one packet, for packets
#: that are delayed for longer than the window allows for.
_RESERVED_SHARE: Final = 0.1


class WarmupLimiter:
    """Counts the opening packets to a target in a sliding window.

    A target that has sent no heartbeat may be cold, and is limited. The window
    of a process that has restarted counts as used up, unless its target is
    known to have received nothing before. It is not emptied for a new target:
    its start is noticed only after packets may have reached it.

    Args:
        clock: Source of time.
        target: State of the target.
        routes: Configuration in force, with the limits of the service.
        service: Service of the target.
        overage: Factor on the configured rate.
        slack: Packets per second above that.
    """

    __slots__ = (
        '_clock',
        '_delivered_ms',
        '_overage',
        '_routes',
        '_service',
        '_slack',
        '_started_ms',
        '_target',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        target: TargetWatch,
        routes: RouteHolder,
        service: str,
        overage: float,
        slack: float,
    ) -> None:
        self._clock = clock
        self._target = target
        self._routes = routes
        self._service = service
        self._overage = overage
        self._slack = slack
        self._started_ms = clock.now_ms()
        self._delivered_ms: deque[int] = deque()

    @property
    def has_room(self) -> bool:
        """Whether the target may receive one more opening packet now."""
        rate = self._routes.table.limits_of(self._service).warmup_per_s
        if rate <= 0 or not self._may_be_cold:
            return True
        uptime_ms = self._clock.now_ms() - self._started_ms
        if uptime_ms <= _WINDOW_MS and not self._target.saw_target_start:
            return False
        self._remove_old()
        bound = rate * self._overage + self._slack
        return len(self._delivered_ms) < _usable(bound)

    def record(self) -> None:
        """Counts an opening packet that was handed to the target."""
        self._remove_old()
        self._delivered_ms.append(self._clock.now_ms())

    @property
    def _may_be_cold(self) -> bool:
        return self._target.cold_ms > 0 or not self._target.was_heard

    def _remove_old(self) -> None:
        oldest_ms = self._clock.now_ms() - _WINDOW_MS
        while self._delivered_ms and self._delivered_ms[0] < oldest_ms:
            self._delivered_ms.popleft()


def _usable(bound: float) -> int:
    """Returns the packets per window that leave a reserve below the bound.

    A bound of one packet or more leaves room for one, since a service whose
    targets are all cold would otherwise serve nothing.
    """
    reserved = max(bound * _RESERVED_SHARE, 1)
    return max(math.floor(bound - reserved), min(math.floor(bound), 1))
