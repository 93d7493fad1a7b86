"""Readiness of a target for new requests."""

from anvilthread.admission import refusals
from anvilthread.outcomes import Outcome


class TargetState:
    """Readiness of one target as observed by its agent."""

    __slots__ = (
        '_draining',
        '_delayed_until_ms',
        '_is_confirmed',
        '_paused_until_ms',
    )

    def __init__(self) -> None:
        self._delayed_until_ms = 0
        self._draining = False
        self._paused_until_ms: int | None = None
        self._is_confirmed = True

    @property
    def draining(self) -> bool:
        """Whether the target is draining."""
        return self._draining

    @property
    def is_confirmed(self) -> bool:
        """Whether the target has answered since it last refused a connection."""
        return self._is_confirmed

    @property
    def delayed_until_ms(self) -> int:
        """Time until which requests with a granted slot must not start."""
        return self._delayed_until_ms

    def paused(self, now_ms: int) -> bool:
        """Tells whether the target has recently refused a connection."""
        return (
            self._paused_until_ms is not None and now_ms < self._paused_until_ms
        )

    def closed(self, now_ms: int) -> bool:
        """Tells whether no new request may start."""
        return self._draining or self.paused(now_ms)

    def refusal(self, now_ms: int) -> Outcome | None:
        """Returns why no new request may start, or None if it may."""
        if self._draining:
            return refusals.draining()
        if self.paused(now_ms):
            return refusals.target_unavailable()
        return None

    def drain(self) -> None:
        """Records that the target is draining."""
        self._draining = True

    def pause(self, until_ms: int) -> None:
        """Records that the target has refused a connection."""
        self._paused_until_ms = until_ms
        self._is_confirmed = False

    def delay_starts(self, until_ms: int) -> None:
        """Records that the target has broken a connection."""
        self._delayed_until_ms = until_ms

    def confirm(self) -> None:
        """Records that the target has answered."""
        self._paused_until_ms = None
        self._is_confirmed = True
