"""Requests and targets of the trial of limits in ``benchmarks.pace``."""

from dataclasses import dataclass
from random import Random
from typing import Final

from standins.paced_target import PacedRequest

DURATION_MS: Final = 6000
#: Time of the clock at the start.
START_MS: Final = 1000
_CHANGE_MS: Final = 3000
#: A flapping target fails in the first 500 ms of every 2 s from 2 s on.
_FLAP_MS: Final = 2000
_FLAP_FAILS_MS: Final = 500


@dataclass(frozen=True, kw_only=True)
class PaceScenario:
    """Requests and target.

    Attributes:
        service_ms: Range of the service time.
        tail: Share of requests that take seven times as long.
        said: Slots that the target states, per real one.
        per_s: Requests per second; 0 for a share of the capacity.
        slow_after_ms: Time from which on requests take four times as long.
        cold_ms: Time until which requests take 1.6 times as long.
        failing: Share of requests that fail.
        flaps: Whether all requests fail for a quarter of the time.
        hold_ms: Time for which the transfer of the answer occupies the slot.
    """

    service_ms: tuple[float, float] = (30, 30)
    tail: float = 0
    said: int = 1
    per_s: float = 0
    slow_after_ms: int = DURATION_MS
    cold_ms: int = 0
    failing: float = 0
    flaps: bool = False
    hold_ms: int = 0

    def draw(self, random: Random, at_ms: int) -> PacedRequest:
        """Returns a request that arrives at a time after the start."""
        service_ms = random.uniform(*self.service_ms)
        if random.random() < self.tail:
            service_ms *= 7
        if at_ms >= self.slow_after_ms:
            service_ms *= 4
        if at_ms < self.cold_ms:
            service_ms *= 1.6
        is_down = (
            self.flaps
            and at_ms >= _FLAP_MS
            and at_ms % _FLAP_MS < _FLAP_FAILS_MS
        )
        fails = is_down or random.random() < self.failing
        return PacedRequest(
            offered_ms=START_MS + at_ms,
            service_ms=2 if fails else max(round(service_ms), 1),
            hold_ms=self.hold_ms,
            fails=fails,
        )

    def mean_ms(self, at_ms: int) -> float:
        """Mean time for which a request occupies a slot."""
        factor = 4 if at_ms >= self.slow_after_ms else 1
        tail = 1 + self.tail * 6
        return sum(self.service_ms) / 2 * tail * factor + self.hold_ms


SCENARIOS: Final = {
    '5 ms': PaceScenario(service_ms=(5, 5)),
    '30 ms': PaceScenario(),
    '70 ms': PaceScenario(service_ms=(70, 70)),
    '5 to 70 ms': PaceScenario(service_ms=(5, 70)),
    '13 ms, 3% x7': PaceScenario(service_ms=(13, 13), tail=0.03),
    '30 ms, 3% x7': PaceScenario(tail=0.03),
    'cold for 1 s': PaceScenario(tail=0.03, cold_ms=1000),
    '3 per second': PaceScenario(tail=0.03, per_s=3),
    'speed 0.6': PaceScenario(service_ms=(50, 50), tail=0.03),
    'speed 1.6': PaceScenario(service_ms=(19, 19), tail=0.03),
    'states 4x slots': PaceScenario(tail=0.03, said=4),
    'flaps': PaceScenario(tail=0.03, flaps=True),
    '20% fail': PaceScenario(tail=0.03, failing=0.2),
    'always slow, x4': PaceScenario(service_ms=(120, 120), tail=0.03),
    'turns slow, x4': PaceScenario(tail=0.03, slow_after_ms=_CHANGE_MS),
    'large answers': PaceScenario(service_ms=(10, 30), hold_ms=40),
}
