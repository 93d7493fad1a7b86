"""The attempts of a balancer to place one flow of an ordered service."""

from typing import Final

#: Expected wait at an agent above which the first attempts go elsewhere. Below
#: the time of any request, so only a target that is nearly free accepts.
FIRST_MAX_WAIT_MS: Final = 20

#: Value of ``Place.max_wait_ms`` with which an agent accepts every flow that
#: can still be served.
ANY_WAIT: Final = -1

#: Busy agents after which the flow is placed where the wait is shortest. Each
#: costs two hops, a few ms; more would delay it by as much as they save.
_MAX_BUSY: Final = 3

#: Age of an opening packet at its first and second copy, as clients send them.
_COPY_AGES_MS: Final = (0, 200, 600)


class OpeningAttempts:
    """Waits that agents have named, and the agent that has the packet queued.

    Args:
        now_ms: Time at which the balancer received the opening packet.
        copies: Number of retransmissions before it.
    """

    __slots__ = (
        '_waits',
        'due_ms',
        'is_queued',
        'max_wait_ms',
        'queued_at',
        'sent_ms',
    )

    def __init__(self, *, now_ms: int, copies: int) -> None:
        last = len(_COPY_AGES_MS) - 1
        #: Time at which the client first sent the packet.
        self.sent_ms = now_ms - _COPY_AGES_MS[min(max(copies, 0), last)]
        #: Expected wait above which the agent asked refuses the flow.
        self.max_wait_ms = FIRST_MAX_WAIT_MS
        #: Host of the agent that has queued the packet; empty if none has.
        self.queued_at = ''
        #: Whether that agent has confirmed it since it was last asked.
        self.is_queued = False
        #: Time at which the agent asked must have answered, or is asked again.
        self.due_ms = now_ms
        self._waits: dict[str, int] = {}

    @property
    def busy_count(self) -> int:
        """Number of agents that have refused the flow as busy."""
        return len(self._waits)

    @property
    def is_exhausted(self) -> bool:
        """Whether enough agents are busy to choose among them."""
        return len(self._waits) >= _MAX_BUSY

    @property
    def is_final(self) -> bool:
        """Whether the agent asked is the last one."""
        return self.max_wait_ms == ANY_WAIT

    @property
    def shortest(self) -> str | None:
        """Host of the busy agent with the shortest wait; None if none is."""
        return min(self._waits, key=self._wait_ms, default=None)

    def is_awaited(self, now_ms: int) -> bool:
        """Whether the agent asked need not have answered yet."""
        return self.is_queued or now_ms < self.due_ms

    def leave(self) -> None:
        """Records that no agent has the packet queued any more."""
        self.queued_at = ''
        self.is_queued = False

    def record_busy(self, host: str, wait_ms: int) -> None:
        """Records the expected wait at a busy agent."""
        self._waits[host] = wait_ms

    def exclude(self, host: str) -> None:
        """Removes an agent that has refused the flow for another reason."""
        self._waits.pop(host, None)

    def _wait_ms(self, host: str) -> int:
        return self._waits[host]
