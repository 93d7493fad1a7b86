"""Load of one peer as seen by an agent."""

from typing import Final

from anvilthread.routing.load_report import LoadReport

_STALE_AFTER_MS: Final = 5000
_MAX_EXTRAPOLATION_MS: Final = 2000
_SAMPLE_INTERVAL_MS: Final = 500


class PeerLoad:
    """The last report of a peer and the growth rate of its connections."""

    __slots__ = (
        '_growth_per_ms',
        '_report',
        '_reported_ms',
        '_sample',
        '_sample_ms',
    )

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._reported_ms = 0
        self._sample: LoadReport | None = None
        self._sample_ms = 0
        self._growth_per_ms: float = 0

    def accept(self, report: LoadReport, now_ms: int) -> bool:
        """Stores a report; returns False if it is not newer than the last."""
        last = self._report
        if last is not None and not report.follows(last):
            return False
        self._report = report
        self._reported_ms = now_ms
        sample = self._sample
        if sample is None or sample.incarnation < report.incarnation:
            self._start_sample(report, now_ms)
        elif now_ms - self._sample_ms >= _SAMPLE_INTERVAL_MS:
            change = report.connections - sample.connections
            elapsed_ms = now_ms - self._sample_ms
            self._start_sample(report, now_ms)
            self._growth_per_ms = change / elapsed_ms
        return True

    def is_stale(self, now_ms: int) -> bool:
        """Tells whether the last report is too old to use."""
        return now_ms - self._reported_ms > _STALE_AFTER_MS

    def is_usable(self, now_ms: int) -> bool:
        """Tells whether the peer is warm, not draining and not stale."""
        report = self._report
        return not (
            report is None
            or report.cold
            or report.draining
            or self.is_stale(now_ms)
        )

    def level(self, now_ms: int) -> float:
        """Returns the estimated current connections per slot."""
        report = self._report
        if report is None:
            return 0
        age_ms = min(now_ms - self._reported_ms, _MAX_EXTRAPOLATION_MS)
        present = report.connections + self._growth_per_ms * age_ms
        return max(present, 0) / max(report.slots, 1)

    def _start_sample(self, report: LoadReport, now_ms: int) -> None:
        self._sample = report
        self._sample_ms = now_ms
        self._growth_per_ms = 0
