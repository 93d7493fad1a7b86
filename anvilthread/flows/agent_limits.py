"""Construction of the limits that an agent puts on its target."""

from anvilthread.clock import Clock
from anvilthread.flows.fixed_work_limit import FixedWorkLimit
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.work_limit import WorkLimit


def build_work_limit(*, clock: Clock, target: TargetWatch) -> WorkLimit:
    """Returns the limit on the requests at a target.

    Args:
        clock: Source of time.
        target: State of the target.
    """
    return FixedWorkLimit(target=target)


def build_opening_limit(
    *,
    clock: Clock,
    target: TargetWatch,
    routes: RouteHolder,
    service: str,
    overage: float,
    slack: float,
) -> OpeningLimit | None:
    """Returns the limit on the opening packets that a cold target receives.

    Args:
        clock: Source of time.
        target: State of the target.
        routes: Configuration in force, for the rate that a cold target bears.
        service: Service of the target.
        overage: Factor on that rate.
        slack: Packets above that, in any second.

    Returns:
        The limit; None for no limit.
    """
