"""Whether a target may get new requests."""

from anvilthread.admission import refusals
from anvilthread.outcomes import Outcome


class TargetState:
    """What is known about one target's readiness."""

    __slots__ = (
        '_doubted_until_ms',
        '_draining',
        '_paused_until_ms',
        '_proven',
    )

    def __init__(self) -> None:
        self._doubted_until_ms = 0
        self._draining = False
        self._paused_until_ms: int | None = None
        self._proven = True

    @property
    def draining(self) -> bool:
        """Whether the target is leaving."""
        return self._draining

    @property
    def proven(self) -> bool:
        """Whether the target has answered since it last refused."""
        return self._proven

    @property
    def doubted_until_ms(self) -> int:
        """Time until which a granted slot is to be held back."""
        return self._doubted_until_ms

    def paused(self, now_ms: int) -> bool:
        """Whether the target has refused connections a short time ago."""
        return (
            self._paused_until_ms is not None and now_ms < self._paused_until_ms
        )

    def closed(self, now_ms: int) -> bool:
        """Whether nothing new may start."""
        return self._draining or self.paused(now_ms)

    def refusal(self, now_ms: int) -> Outcome | None:
        """Why nothing new may start; None if it may."""
        if self._draining:
            return refusals.draining()
        if self.paused(now_ms):
            return refusals.target_unavailable()
        return None

    def drain(self) -> None:
        """Notes that the target is leaving."""
        self._draining = True

    def pause(self, until_ms: int) -> None:
        """Notes that the target has refused a connection."""
        self._paused_until_ms = until_ms
        self._proven = False

    def doubt(self, until_ms: int) -> None:
        """Notes that the target has broken a connection."""
        self._doubted_until_ms = until_ms

    def confirm(self) -> None:
        """Notes that the target has answered."""
        self._paused_until_ms = None
        self._proven = True
