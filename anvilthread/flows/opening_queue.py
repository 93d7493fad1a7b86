"""The opening packets that wait at an agent."""

from collections import Counter
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.flow_key import FlowKey, client_of
from anvilthread.flows.queued_opening import QueuedOpening
from anvilthread.flows.traffic_class import LOWEST_PRIORITY

#: Maximum number of waiting packets. A target of one slot and requests of
#: 20 ms serves 65 packets within the 1.3 s that clients wait.
MAX_WAITING: Final = 64

#: Maximum share of the queue that the packets of one client address hold.
_MAX_CLIENT_SHARE: Final = 0.25

#: Age at which a packet is no longer delivered. Clients give up after 1.4 s;
#: the answer of the target takes up to 100 ms to reach them.
ABANDONED_MS: Final = 1300

#: Every so many deliveries, the oldest packet is delivered whatever its
#: priority, so that none waits forever.
_OLDEST_INTERVAL: Final = 5


class OpeningQueue:
    """Orders opening packets by timeliness, priority and age.

    Packets whose requests can still meet their objective come first, by
    priority, and within a priority the oldest first; then the late ones in
    the same order.

    Args:
        clock: Source of time.
    """

    __slots__ = ('_by_client', '_by_priority', '_clock', '_taken', '_waiting')

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[FlowKey, QueuedOpening] = {}
        self._by_client: Counter[bytes] = Counter()
        self._by_priority = [0 for _ in range(LOWEST_PRIORITY + 1)]
        self._taken = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, key: FlowKey) -> QueuedOpening | None:
        """Returns a waiting packet; None if the flow has none."""
        return self._waiting.get(key)

    def has_room_for(self, key: FlowKey, priority: int) -> bool:
        """Whether one more packet may wait.

        In a full queue, it takes the place of one of a lower priority.

        Args:
            key: The flow, for the share of its client.
            priority: Priority of the packet.
        """
        held = self._by_client.get(client_of(key), 0)
        if held >= MAX_WAITING * _MAX_CLIENT_SHARE:
            return False
        count = len(self._waiting)
        return count < MAX_WAITING or self.count_up_to(priority) < count

    def count_up_to(self, priority: int) -> int:
        """Number of waiting packets of the same or a higher priority."""
        return sum(self._by_priority[: priority + 1])

    def count_ahead(
        self, priority: int, answer_ms: float, *, is_late: bool = False
    ) -> int:
        """Number of waiting packets that are delivered before another one.

        Late packets are delivered after those that are in time, so a backlog
        of them does not delay a new packet.

        Args:
            priority: Priority of the other packet.
            answer_ms: Time from a delivery to the answer of its request.
            is_late: Whether the other packet misses its objective.
        """
        rank = (is_late, priority)
        now_ms = self._clock.now_ms()
        return sum(
            (opening.is_late(now_ms, answer_ms), opening.priority) <= rank
            for opening in self._waiting.values()
        )

    def add(self, opening: QueuedOpening) -> None:
        """Adds a packet; replaces an earlier one of the same flow."""
        self.discard(opening.key)
        self._waiting[opening.key] = opening
        self._by_client[opening.client] += 1
        self._by_priority[opening.priority] += 1

    def take_displaced(self, answer_ms: float) -> QueuedOpening | None:
        """Removes and returns the last packet if there is one too many.

        Args:
            answer_ms: Time from a delivery to the answer of its request.
        """
        if len(self._waiting) <= MAX_WAITING:
            return None
        now_ms = self._clock.now_ms()
        last = max(
            self._waiting.values(),
            key=lambda opening: (
                opening.priority,
                _rank(opening, now_ms, answer_ms),
            ),
        )
        return self.discard(last.key)

    def discard(self, key: FlowKey) -> QueuedOpening | None:
        """Removes and returns the packet of a flow, if it has one."""
        opening = self._waiting.pop(key, None)
        if opening is None:
            return None
        self._by_priority[opening.priority] -= 1
        self._by_client[opening.client] -= 1
        if not self._by_client[opening.client]:
            self._by_client.pop(opening.client)
        return opening

    def take(self, answer_ms: float) -> QueuedOpening | None:
        """Removes and returns the packet that is delivered next.

        Args:
            answer_ms: Time from the delivery to the answer of the request.

        Returns:
            The packet, or None if none waits.
        """
        if not self._waiting:
            return None
        self._taken += 1
        if self._taken % _OLDEST_INTERVAL:
            now_ms = self._clock.now_ms()
            chosen = min(
                self._waiting.values(),
                key=lambda opening: _rank(opening, now_ms, answer_ms),
            )
        else:
            chosen = min(self._waiting.values(), key=_sent_ms)
        return self.discard(chosen.key)

    def take_hopeless(
        self, *, run_ms: float, answer_ms: float, above: int, slots: int
    ) -> list[QueuedOpening]:
        """Removes and returns the packets that cannot be served in time.

        A packet stays if either its rank or its age would have it delivered
        before its client gives up, provided that no other packet arrives.

        Args:
            run_ms: Time that the target takes for a request.
            answer_ms: Time from a delivery to the answer of its request.
            above: Requests at the target above its slots.
            slots: Requests that the target processes at a time.
        """
        now_ms = self._clock.now_ms()
        by_age = sorted(self._waiting.values(), key=_sent_ms)
        older = {opening.key: rank for rank, opening in enumerate(by_age)}
        ranked = sorted(
            by_age, key=lambda opening: _rank(opening, now_ms, answer_ms)
        )
        kept = 0
        hopeless = []
        for opening in ranked:
            deliveries = min(kept, older[opening.key] * _OLDEST_INTERVAL)
            wait_ms = run_ms * (above + deliveries) / slots
            if now_ms - opening.sent_ms + wait_ms >= ABANDONED_MS:
                hopeless.append(opening)
            else:
                kept += 1
        for opening in hopeless:
            self.discard(opening.key)
        return hopeless

    def take_all(self) -> list[QueuedOpening]:
        """Removes and returns every packet, the oldest first."""
        openings = sorted(self._waiting.values(), key=_sent_ms)
        for opening in openings:
            self.discard(opening.key)
        return openings


def _rank(
    opening: QueuedOpening, now_ms: int, answer_ms: float
) -> tuple[bool, int, int]:
    is_late = opening.is_late(now_ms, answer_ms)
    return is_late, opening.priority, opening.sent_ms


def _sent_ms(opening: QueuedOpening) -> int:
    return opening.sent_ms
