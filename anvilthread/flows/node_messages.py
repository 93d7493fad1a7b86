"""Messages about the state and discovery of nodes."""

from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.flows.message import Message
from anvilthread.flows.node_record import NodeRecord


class LoadReport(Message, frozen=True, tag=9):
    """State of an agent and of its target.

    Attributes:
        node: The agent.
        sequence: Number of the report within the incarnation.
        accepts: Whether the agent accepts new flows.
        working: Requests that the target has not begun to answer.
        busy: Mean of ``working`` over about the last second.
        flows: Number of open flows that have carried more than one request.
        period_ms: Maximum time until the next report.
        slots: Requests that the target processes at a time.
        cold_ms: Remaining time of the slow start of the target.
        version: Version of the configuration in force.
        check_age_ms: Age of the last check of that version with the store; -1
            if it has never been checked.
        is_failing: Whether the target is ejected because its requests fail.
        uptime_ms: Time since the start of the agent's process.
        has_new_target: Whether the target has started together with the agent
            or later, so that it holds no earlier flow.
        run_ms: Time that the target takes for a request; 0 if unknown.
        wait_ms: Time that a new flow of the lowest priority waits for the
            target; 0 if it is served at once.
        waiting: Opening packets that wait at the agent.
        limit: Requests that the agent lets into its target at a time; 0 if it
            does not limit them.
        knows_target: Whether a heartbeat has told whether the target drains.
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
    check_age_ms: int
    is_failing: bool = False
    uptime_ms: int = 1 << 40
    has_new_target: bool = False
    run_ms: float = 0
    wait_ms: int = 0
    waiting: int = 0
    limit: int = 0
    knows_target: bool = True


class Hello(Message, frozen=True, tag=10):
    """A node introduces itself, or confirms that it is still running.

    Attributes:
        node: The sender.
        version: Version of its configuration.
        check_age_ms: As in :class:`LoadReport`.
        wants_peers: Whether the receiver should answer with :class:`Peers`.
        store_era: Highest era of the store that the sender knows.
        evacuation: The evacuated sites; None if the sender does not know
            them, or there are too many for one datagram.
        evacuation_age_ms: Time since the store held that view; -1 if unknown.
    """

    node: NodeRecord
    version: int
    check_age_ms: int
    wants_peers: bool
    store_era: int = 0
    evacuation: EvacuationView | None = None
    evacuation_age_ms: int = -1


class Peers(Message, frozen=True, tag=11):
    """The sender, followed by the peers from which it has recent messages."""

    nodes: tuple[NodeRecord, ...]
    version: int
    check_age_ms: int


class Leaving(Message, frozen=True, tag=12):
    """The sender is about to stop by request.

    Attributes:
        node: The sender.
        returns: Whether it restarts and its target keeps the flows meanwhile.
    """

    node: NodeRecord
    returns: bool
