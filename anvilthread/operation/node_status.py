"""Status that a node reports about itself."""

from msgspec import Struct, field


class NodeStatus(Struct, frozen=True, kw_only=True):
    """Status of one node at the time of the answer.

    Attributes:
        name: Name from its settings.
        role: ``balancer`` or ``agent``.
        site: Site from its settings.
        state: Membership state, for example ``alive`` or ``draining``.
        control: Its control address.
        request: Its request address, which accepts operations.
        incarnation: Its incarnation.
        uptime_ms: Time since it started.
        revision: Revision of the configuration in force, 0 for none.
        members: Number of members that it knows, by state.
        connections: Open connections; 0 on a balancer.
        busy: Requests in execution on its target.
        waiting: Requests that wait for a slot.
        slots: Slots of its target.
        active_keys: Number of the active key by kind.
        unmet: Readiness conditions that are not met.
    """

    name: str
    role: str
    site: str
    state: str
    control: str
    request: str
    incarnation: int
    uptime_ms: int
    revision: int
    members: dict[str, int]
    connections: int = 0
    busy: int = 0
    waiting: int = 0
    slots: int = 0
    active_keys: dict[str, int] = field(default_factory=dict)
    unmet: tuple[str, ...] = ()
