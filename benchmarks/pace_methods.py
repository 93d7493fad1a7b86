"""Published methods of limiting concurrency, for comparison."""

import math
from collections import deque
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.target_watch import TargetWatch

_MAX_PER_SLOT: Final = 2


class FixedLimit:
    """Two requests per slot; the base of the other methods.

    Args:
        clock: Source of time.
        target: State of the target.
    """

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        self._clock = clock
        self._target = target
        self._level: float = self._maximum

    @property
    def limit(self) -> int:
        """Requests that may be at the target."""
        return max(int(min(self._level, self._maximum)), 1)

    @property
    def run_ms(self) -> float:
        """Estimated service time; unknown."""
        return 0

    @property
    def _maximum(self) -> int:
        return self._target.slots * _MAX_PER_SLOT

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Records an answer."""

    def on_refusal(self) -> None:
        """Records that the target was full."""

    def on_failure(self) -> None:
        """Records a failed request."""

    def restart(self) -> None:
        """Discards what was learned."""


class TimedSlowStart(FixedLimit):
    """Rises from 1 to the maximum in 2 s, and again after a failure."""

    _RAMP_MS: Final = 2000

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        super().__init__(clock=clock, target=target)
        self._began_ms = clock.now_ms()

    @property
    def limit(self) -> int:
        """Requests that may be at the target."""
        share = (self._clock.now_ms() - self._began_ms) / self._RAMP_MS
        return max(int(self._maximum * min(share, 1)), 1)

    def on_refusal(self) -> None:
        """Starts again."""
        self._began_ms = self._clock.now_ms()

    def on_failure(self) -> None:
        """Starts again."""
        self._began_ms = self._clock.now_ms()


class Aimd(FixedLimit):
    """Halves at refusals and failures; adds one per round of answers."""

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        super().__init__(clock=clock, target=target)
        self._level = target.slots

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Adds one per round."""
        self._level = min(self._level + 1 / self.limit, self._maximum)

    def on_refusal(self) -> None:
        """Halves the limit."""
        self._level = max(self.limit / 2, 1)

    def on_failure(self) -> None:
        """Halves the limit."""
        self._level = max(self.limit / 2, 1)


class AimdBySlowAnswer(Aimd):
    """Also halves at each answer of more than twice the expected time.

    The expected time is the median of run_ms * slots / working, times working.
    """

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        super().__init__(clock=clock, target=target)
        self._samples: deque[float] = deque(maxlen=15)

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Adds one per round of quick answers."""
        rounds = max(working / self._target.slots, 1)
        expected_ms = math.inf
        if self._samples:
            median = sorted(self._samples)[len(self._samples) // 2]
            expected_ms = median * rounds
        self._samples.append(run_ms / rounds)
        if run_ms > 2 * expected_ms:
            self._level = max(self.limit / 2, 1)
        else:
            super().on_answer(run_ms=run_ms, working=working)


class LatencyGradient(Aimd):
    """Follows the ratio of the long-term to the present latency."""

    _TOLERANCE: Final = 1.5
    _SMOOTHING: Final = 0.2

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        super().__init__(clock=clock, target=target)
        self._long_ms: float = 0

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Moves the limit towards the gradient's."""
        if not self._long_ms:
            self._long_ms = run_ms
        self._long_ms += (run_ms - self._long_ms) / 100
        if run_ms < self._long_ms / 2:
            self._long_ms *= 0.95
        gradient = self._TOLERANCE * self._long_ms / max(run_ms, 1)
        gradient = min(max(gradient, 0.5), 1)
        wanted = self._level * gradient + math.sqrt(self._level)
        self._level += self._SMOOTHING * (wanted - self._level)
        self._level = min(max(self._level, 1), self._maximum)


class SojournTime(Aimd):
    """Controlled delay (CoDel): reduces if the queue persists."""

    _TARGET_MS: Final = 20
    _INTERVAL_MS: Final = 200

    def __init__(self, *, clock: Clock, target: TargetWatch) -> None:
        super().__init__(clock=clock, target=target)
        self._service_ms: deque[int] = deque(maxlen=50)
        self._above_since_ms: int | None = None
        self._drops = 0

    def on_answer(self, *, run_ms: int, working: int) -> None:
        """Takes one off per interval in which every answer has waited."""
        self._service_ms.append(run_ms)
        now_ms = self._clock.now_ms()
        if run_ms - min(self._service_ms) <= self._TARGET_MS:
            self._above_since_ms = None
            self._drops = 0
            super().on_answer(run_ms=run_ms, working=working)
            return
        since_ms = self._above_since_ms
        if since_ms is None:
            self._above_since_ms = now_ms
            return
        if now_ms - since_ms >= self._INTERVAL_MS / math.sqrt(self._drops + 1):
            self._drops += 1
            self._above_since_ms = now_ms
            self._level = max(self.limit - 1, 1)
