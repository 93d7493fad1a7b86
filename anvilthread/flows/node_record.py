"""The identity of a node."""

from enum import IntEnum

import msgspec


class NodeRole(IntEnum):
    """Role of a node."""

    BALANCER = 0
    AGENT = 1


class NodeRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Identity of a node, the same for the life of its process.

    Attributes:
        host: IPv4 address; the nodes of a cluster share one port.
        role: Balancer or agent.
        site: Name of the site.
        service: Service of the agent's target; empty for a balancer.
        incarnation: Start of the process in ms since the epoch.
    """

    host: str
    role: NodeRole
    site: str
    service: str
    incarnation: int
