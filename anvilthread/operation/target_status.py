"""Status of one target in the view of a node."""

from msgspec import Struct


class TargetStatus(Struct, frozen=True, kw_only=True):
    """One target as the answering node sees it.

    Attributes:
        control: Control address of the agent beside the target.
        request: Its request address, which accepts operations.
        site: Site of the agent.
        services: Services that the target runs.
        state: Membership state of the agent.
        slots: Slots of the target.
        connections: Connections in its last load report.
        busy: Busy slots in its last load report.
        waiting: Waiting requests in its last load report.
        report_age_ms: Age of that report; None without a report.
    """

    control: str
    request: str
    site: str
    services: tuple[str, ...]
    state: str
    slots: int
    connections: int = 0
    busy: int = 0
    waiting: int = 0
    report_age_ms: int | None = None
