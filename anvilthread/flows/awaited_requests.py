"""New flows whose first request has not arrived."""

from collections import OrderedDict
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.flow_key import FlowKey

#: Time for which a new flow without a request counts as load: its first
#: request follows within a round trip to the client.
_FIRST_REQUEST_MS: Final = 40


class AwaitedRequests:
    """Counts new flows without a loop over all flows.

    Args:
        clock: Source of time.
    """

    __slots__ = ('_clock', '_touched_ms')

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        #: Time of the last packet of each flow, the oldest first.
        self._touched_ms: OrderedDict[FlowKey, int] = OrderedDict()

    @property
    def count(self) -> int:
        """Number of flows that have had a packet recently."""
        oldest_ms = self._clock.now_ms() - _FIRST_REQUEST_MS
        while self._touched_ms:
            key = next(iter(self._touched_ms))
            if self._touched_ms[key] > oldest_ms:
                break
            self._touched_ms.pop(key)
        return len(self._touched_ms)

    def touch(self, key: FlowKey) -> None:
        """Records a packet of a flow without a request."""
        self._touched_ms[key] = self._clock.now_ms()
        self._touched_ms.move_to_end(key)

    def discard(self, key: FlowKey) -> None:
        """Forgets a flow that has carried a request or has ended."""
        self._touched_ms.pop(key, None)
