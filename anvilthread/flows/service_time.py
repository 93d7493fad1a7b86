"""Estimate of the time for which a request occupies a slot of a target."""

from collections import deque
from typing import Final

#: Answers in the estimate: half a second of a busy slot with requests of 30 ms,
#: and large enough for a median that a tail of some percent does not move.
_WINDOW: Final = 15

#: Answers in the estimates of the present and of the undisturbed time. With 3%
#: of requests in the tail, a median of 9 is one of them in 1 of 10,000 cases.
_SHORT_WINDOW: Final = 9

#: Answers without which the present time is unknown.
_MIN_LATEST: Final = 5

#: Departures remembered; above the requests that a target takes at a time.
_DEPARTURES: Final = 64


class ServiceTime:
    """Subtracts the wait in the target's queue from the time of an answer.

    A target takes requests in the order of arrival. One that finds all slots
    occupied begins when as many requests have left as were ahead of it in the
    queue. Medians are used, since a few requests take many times as long.
    """

    __slots__ = ('_alone_ms', '_departed_ms', '_latest_ms', '_recent_ms')

    def __init__(self) -> None:
        self._departed_ms: deque[int] = deque(maxlen=_DEPARTURES)
        self._recent_ms: deque[int] = deque(maxlen=_WINDOW)
        self._latest_ms: deque[int] = deque(maxlen=_SHORT_WINDOW)
        #: Times of requests that were alone at the target. They are right even
        #: if the target has fewer slots than it says.
        self._alone_ms: deque[int] = deque(maxlen=_SHORT_WINDOW)

    @property
    def run_ms(self) -> float:
        """Median time for which a request occupies a slot; 0 if unknown."""
        return _median(self._recent_ms)

    @property
    def latest_ms(self) -> float:
        """Median of the last few; 0 if there are too few."""
        if len(self._latest_ms) < _MIN_LATEST:
            return 0
        return _median(self._latest_ms)

    @property
    def alone_ms(self) -> float:
        """Median for a request alone at the target; 0 if unknown.

        A busy target has had a single such request, its first one. If that one
        was unusually quick, the limit falls to 1, which yields further ones.
        """
        return _median(self._alone_ms)

    def record(
        self, *, now_ms: int, run_ms: int, working: int, slots: int
    ) -> int:
        """Records an answer.

        Args:
            now_ms: Time of the answer.
            run_ms: Time from the request to the answer.
            working: Requests at the target when this one began, with this one.
            slots: Requests that the target processes at a time.

        Returns:
            Time in ms for which the request occupied its slot.
        """
        began_ms = self._find_start(now_ms - run_ms, working - slots)
        service_ms = now_ms - began_ms
        self._departed_ms.append(now_ms)
        self._recent_ms.append(service_ms)
        self._latest_ms.append(service_ms)
        if working <= 1:
            self._alone_ms.append(service_ms)
        return service_ms

    def record_departure(self, now_ms: int) -> None:
        """Records that a request has left the target without an answer."""
        self._departed_ms.append(now_ms)

    def forget_latest(self) -> None:
        """Restarts the estimate of the present."""
        self._latest_ms.clear()

    def reset(self) -> None:
        """Discards everything, for another target."""
        self._departed_ms.clear()
        self._recent_ms.clear()
        self._latest_ms.clear()
        self._alone_ms.clear()

    def _find_start(self, arrived_ms: int, ahead: int) -> int:
        """Returns when a slot took a request.

        Args:
            arrived_ms: Time at which the request reached the target.
            ahead: Requests that had to leave before it.
        """
        if ahead <= 0:
            return arrived_ms
        later = [at_ms for at_ms in self._departed_ms if at_ms > arrived_ms]
        if not later:
            return arrived_ms
        # Requests that were given up leave unseen, so some may be missing.
        return later[min(ahead, len(later)) - 1]


def _median(times_ms: deque[int]) -> float:
    return sorted(times_ms)[len(times_ms) // 2] if times_ms else 0
