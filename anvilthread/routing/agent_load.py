"""Load of one agent as seen by one balancer."""

import math
from collections import deque
from typing import Final

from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.report_statistics import ReportStatistics

_COUNTER_MASK: Final = 0xFFFFFFFF
_SAMPLE_INTERVAL_MS: Final = 500

#: Time after which a send that no report has confirmed counts as lost.
CONFIRMATION_TIMEOUT_MS: Final = 3000


class AgentLoad:
    """The last report of an agent and the first packets sent to it.

    Args:
        now_ms: Current time of the balancer's clock.
    """

    __slots__ = (
        '_counter_offset',
        '_decayed_ms',
        '_last_sample',
        '_last_sample_ms',
        '_sent_history',
        'confirmed',
        'expected',
        'report',
        'reported_ms',
        'sent',
        'stale_offset',
        'statistics',
    )

    def __init__(self, *, now_ms: int) -> None:
        self.report: LoadReport | None = None
        self.reported_ms = now_ms
        #: First packets sent by this balancer.
        self.sent = 0
        #: Sends that the last report includes or that count as lost.
        self.confirmed = 0
        #: Open connections estimated from this balancer's sends alone; each
        #: send is scaled to all balancers at the time it is made.
        self.expected: float = 0
        #: Offset added to the expected connections per weight since the reports
        #: have become too old; None before.
        self.stale_offset: float | None = None
        self.statistics = ReportStatistics()
        self._counter_offset: int | None = None
        self._last_sample: LoadReport | None = None
        self._last_sample_ms = now_ms
        self._decayed_ms = now_ms
        self._sent_history: deque[tuple[int, int]] = deque(((now_ms, 0),))

    @property
    def pending(self) -> int:
        """Sends of this balancer that the last report does not include."""
        return self.sent - self.confirmed

    def record_send(self, multiplier: float) -> None:
        """Counts a first packet sent by this balancer to the agent.

        Args:
            multiplier: Ratio of the sends of all balancers to those of this
                balancer.
        """
        self.sent += 1
        self.expected += multiplier

    def is_newer(self, report: LoadReport) -> bool:
        """Tells whether a report is newer than the last one."""
        return self.report is None or report.follows(self.report)

    def accept(self, report: LoadReport, now_ms: int) -> None:
        """Stores a report for which :meth:`is_newer` returns True."""
        lost = self._confirm(report, now_ms)
        self.report = report
        self.reported_ms = now_ms
        self.stale_offset = None
        self._add_sample(report, now_ms, lost)

    def decay(self, departure_rate: float, now_ms: int) -> None:
        """Reduces the expected connections by the estimated departures."""
        elapsed_ms = now_ms - self._decayed_ms
        self._decayed_ms = now_ms
        self.expected *= math.exp(-departure_rate * elapsed_ms)

    def _confirm(self, report: LoadReport, now_ms: int) -> int:
        """Updates the confirmed sends and returns how many were lost."""
        due = max(self._sent_before_timeout(now_ms), self.confirmed)
        if self._counter_offset is None:
            self._counter_offset = report.received - self.sent
        confirmed = (report.received - self._counter_offset) & _COUNTER_MASK
        if confirmed > self.sent:
            # The network may duplicate packets.
            confirmed = self.sent
            self._counter_offset = report.received - self.sent
        lost = max(due - confirmed, 0)
        self._counter_offset -= lost
        self.confirmed = confirmed + lost
        return lost

    def _sent_before_timeout(self, now_ms: int) -> int:
        limit_ms = now_ms - CONFIRMATION_TIMEOUT_MS
        while (
            len(self._sent_history) > 1 and self._sent_history[1][0] <= limit_ms
        ):
            self._sent_history.popleft()
        time_ms, sent = self._sent_history[0]
        return sent if time_ms <= limit_ms else 0

    def _add_sample(self, report: LoadReport, now_ms: int, lost: int) -> None:
        self.statistics.lost += lost
        elapsed_ms = now_ms - self._last_sample_ms
        if self._last_sample is not None and elapsed_ms < _SAMPLE_INTERVAL_MS:
            return
        if self._last_sample is not None:
            self.statistics.add(
                self._last_sample,
                report,
                elapsed_ms=elapsed_ms,
                sent=self.sent - self._sent_history[-1][1],
                lost=0,
            )
        self._last_sample = report
        self._last_sample_ms = now_ms
        self._sent_history.append((now_ms, self.sent))
