"""Messages about the nodes themselves."""

from anvilthread.flows.message import Message
from anvilthread.flows.node_record import NodeRecord


class LoadReport(Message, frozen=True, tag=9):
    """State of an agent and of its target.

    Attributes:
        node: The agent.
        sequence: Number of the report within the incarnation.
        accepts: Whether new flows may be placed.
        working: Requests that the target has not begun to answer.
        busy: Mean of ``working`` over the last second or so.
        flows: Open flows that have carried more than one request.
        period_ms: Time until the next report at the latest.
        slots: Requests that the target processes at a time.
        cold_ms: Time for which the target is still slow after its start.
        version: Version of the configuration in force.
        checked_ms: Age of the last check of that version with the store; -1
            if it has never been checked.
        is_failing: Whether the requests of the target come to nothing.
    """

    node: NodeRecord
    sequence: int
    accepts: bool
    working: int
    busy: float
    flows: int
    period_ms: int
    slots: int
    cold_ms: int
    version: int
    checked_ms: int
    is_failing: bool = False


class Hello(Message, frozen=True, tag=10):
    """A node introduces itself, or shows that it is still there.

    Attributes:
        node: The sender.
        version: Version of its configuration.
        checked_ms: As in :class:`LoadReport`.
        wants_peers: Whether the receiver is to answer with its peers.
    """

    node: NodeRecord
    version: int
    checked_ms: int
    wants_peers: bool


class Peers(Message, frozen=True, tag=11):
    """Nodes that the sender has heard from lately, the sender included."""

    nodes: tuple[NodeRecord, ...]
    version: int
    checked_ms: int


class Leaving(Message, frozen=True, tag=12):
    """The sender is about to stop by request.

    Attributes:
        node: The sender.
        returns: Whether its target keeps its flows meanwhile.
    """

    node: NodeRecord
    returns: bool
