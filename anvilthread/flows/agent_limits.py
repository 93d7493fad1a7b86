"""Construction of the limits that an agent puts on its target."""

from anvilthread.clock import Clock
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.pace_limit import PaceLimit
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.warmup_limiter import WarmupLimiter
from anvilthread.flows.work_limit import WorkLimit


def build_work_limit(clock: Clock, target: TargetWatch) -> WorkLimit:
    """Returns the limit on the requests at a target."""
    return PaceLimit(clock=clock, target=target)


def build_opening_limit(
    *,
    clock: Clock,
    target: TargetWatch,
    routes: RouteHolder,
    service: str,
    overage: float,
    slack: float,
) -> OpeningLimit:
    """Returns the limit on opening packets per second.

    Args:
        clock: Source of time.
        target: State of the target.
        routes: Configuration in force, with the limits of the service.
        service: Service of the target.
        overage: Factor on the configured rate.
        slack: Packets per second above that.
    """
    return WarmupLimiter(
        clock=clock,
        target=target,
        routes=routes,
        service=service,
        overage=overage,
        slack=slack,
    )
