"""New flows whose first request has not arrived."""

from collections import OrderedDict
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.flow_key import FlowKey

#: Time for which a new flow without a request counts as load. Its first request
#: follows within a round trip to the client (10 ms), some ms later through a
#: busy balancer. A flow that never sends one occupies a slot for this time.
_FIRST_REQUEST_MS: Final = 25


class AwaitedRequests:
    """Counts new flows without a loop over all flows.

    Args:
        clock: Source of time.
    """

    __slots__ = ('_clock', '_opened_ms')

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: Time at which each flow was opened, the oldest first.
        self._opened_ms: OrderedDict[FlowKey, int] = OrderedDict()

    @property
    def count(self) -> int:
        """Number of flows that were opened recently."""
        oldest_ms = self._clock.now_ms() - _FIRST_REQUEST_MS
        while self._opened_ms:
            key = next(iter(self._opened_ms))
            if self._opened_ms[key] > oldest_ms:
                break
            self._opened_ms.pop(key)
        return len(self._opened_ms)

    def add(self, key: FlowKey) -> None:
        """Records the opening of a flow."""
        self._opened_ms[key] = self._clock.now_ms()
        self._opened_ms.move_to_end(key)

    def discard(self, key: FlowKey) -> None:
        """Forgets a flow that has carried a request or has ended."""
        self._opened_ms.pop(key, None)
