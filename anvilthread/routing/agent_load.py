"""What one balancer knows of the load of one agent."""

import math
from collections import deque
from typing import Final

from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.report_statistics import ReportStatistics

_COUNTER_MASK: Final = 0xFFFFFFFF
_SAMPLE_MS: Final = 500

#: A send that no report has confirmed for this long counts as lost.
CONFIRMATION_TIMEOUT_MS: Final = 3000


class AgentLoad:
    """The last report of an agent and this balancer's sends to it.

    Args:
        now_ms: Present time of the balancer's clock.
    """

    __slots__ = (
        '_decayed_ms',
        '_offset',
        '_sampled',
        '_sampled_ms',
        '_sends',
        'confirmed',
        'expected',
        'handicap',
        'report',
        'reported_ms',
        'sent',
        'statistics',
    )

    def __init__(self, *, now_ms: int) -> None:
        self.report: LoadReport | None = None
        self.reported_ms = now_ms
        #: First packets sent by this balancer.
        self.sent = 0
        #: Of these, the ones that the last report includes, or lost ones.
        self.confirmed = 0
        #: Open connections by this balancer's sends alone, scaled to all
        #: balancers at the time of each send.
        self.expected: float = 0
        #: Addition to the expected connections per weight since the reports
        #: have become too old.
        self.handicap: float | None = None
        self.statistics = ReportStatistics()
        self._offset: int | None = None
        self._sampled: LoadReport | None = None
        self._sampled_ms = now_ms
        self._decayed_ms = now_ms
        self._sends: deque[tuple[int, int]] = deque(((now_ms, 0),))

    @property
    def pending(self) -> int:
        """Own sends that the last report does not include yet."""
        return self.sent - self.confirmed

    def record_send(self, multiplier: float) -> None:
        """Counts a first packet that this balancer sends to the agent.

        Args:
            multiplier: Sends of all balancers for one of this balancer's.
        """
        self.sent += 1
        self.expected += multiplier

    def is_newer(self, report: LoadReport) -> bool:
        """Tells whether a report follows the last one."""
        return self.report is None or report.follows(self.report)

    def accept(self, report: LoadReport, now_ms: int) -> None:
        """Takes a report for which :meth:`is_newer` holds."""
        lost = self._confirm(report, now_ms)
        self.report = report
        self.reported_ms = now_ms
        self.handicap = None
        self._sample(report, now_ms, lost)

    def decay(self, departure_rate: float, now_ms: int) -> None:
        """Removes ended connections from the expected ones."""
        elapsed_ms = now_ms - self._decayed_ms
        self._decayed_ms = now_ms
        self.expected *= math.exp(-departure_rate * elapsed_ms)

    def _confirm(self, report: LoadReport, now_ms: int) -> int:
        """Updates the confirmed sends; returns how many were lost."""
        lowest = max(self._sent_before(now_ms), self.confirmed)
        if self._offset is None:
            self._offset = report.received - self.sent
        confirmed = (report.received - self._offset) & _COUNTER_MASK
        if confirmed > self.sent:
            # The network may duplicate packets.
            confirmed = self.sent
            self._offset = report.received - self.sent
        lost = max(lowest - confirmed, 0)
        self._offset -= lost
        self.confirmed = confirmed + lost
        return lost

    def _sent_before(self, now_ms: int) -> int:
        limit_ms = now_ms - CONFIRMATION_TIMEOUT_MS
        while len(self._sends) > 1 and self._sends[1][0] <= limit_ms:
            self._sends.popleft()
        time_ms, sent = self._sends[0]
        return sent if time_ms <= limit_ms else 0

    def _sample(self, report: LoadReport, now_ms: int, lost: int) -> None:
        self.statistics.lost += lost
        elapsed_ms = now_ms - self._sampled_ms
        if self._sampled is not None and elapsed_ms < _SAMPLE_MS:
            return
        if self._sampled is not None:
            self.statistics.add(
                self._sampled,
                report,
                elapsed_ms=elapsed_ms,
                sent=self.sent - self._sends[-1][1],
                lost=0,
            )
        self._sampled = report
        self._sampled_ms = now_ms
        self._sends.append((now_ms, self.sent))
