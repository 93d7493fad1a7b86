"""What a node reports about itself."""

from msgspec import Struct, field


class NodeStatus(Struct, frozen=True, kw_only=True):
    """Status of one node at the time of the answer.

    Attributes:
        name: Name from its settings.
        role: ``balancer`` or ``agent``.
        site: Site from its settings.
        state: Membership state, for example ``alive`` or ``draining``.
        control: Its control address.
        request: Its request address, at which it takes operations.
        incarnation: Its incarnation.
        uptime_ms: Time since it started.
        revision: Revision of the configuration in force, 0 for none.
        members: Number of members in its view by state.
        connections: Open connections; 0 on a balancer.
        busy: Requests that run on its target.
        waiting: Requests that wait for a slot.
        slots: Slots of its target.
        active_keys: Number of the active key by kind.
        unmet: Conditions that keep it from being ready.
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
