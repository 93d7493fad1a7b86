"""Construction of the limits that an agent puts on its target."""

from anvilthread.flows.fixed_work_limit import FixedWorkLimit
from anvilthread.flows.opening_limit import OpeningLimit
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.flows.work_limit import WorkLimit


def build_work_limit(target: TargetWatch) -> WorkLimit:
    """Returns the limit on the requests at a target."""
    return FixedWorkLimit(target=target)


def build_opening_limit() -> OpeningLimit | None:
    """Returns the limit on opening packets per second; None for no limit."""
