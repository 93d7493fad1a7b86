"""What one node knows about another."""

from typing import Final

from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord

#: Share of a request that one flow placed since the last report stands for.
#: Opening a flow takes a round trip, after which the report shows the work.
_SEND_WEIGHT: Final = 0.7

#: A cold target works this many times slower; the figure of the site files.
_COLD_FACTOR: Final = 1.6

#: Periods without a report after which a peer is taken for silent.
_LOST_REPORTS: Final = 4.5

#: A node that was silent for this long is gone: longer than the restart of a
#: killed process takes (2 s), and the time after which the users no longer
#: count a node as in touch (4 to 5 s).
_GONE_MS: Final = 4000

#: The same for a node that has told that it will return with its flows: a
#: restart by request, with the longest time that the platform leaves a
#: process to stop (6 s).
_RETURN_MS: Final = 10_000

#: Weights of the requests at work now and of their recent mean. Equal weights
#: since either alone misleads: the count is old by up to a report period, and
#: the mean is slow to show a new queue.
_NOW_WEIGHT: Final = 0.5
_MEAN_WEIGHT: Final = 0.5


class KnownNode:
    """A peer, its last report and what was sent to it since.

    Args:
        record: Identity of the peer.
        heard_ms: Monotonic time of the last message from it; None if others
            have told of it only.
    """

    __slots__ = (
        '_heard_ms',
        '_introductions',
        '_is_leaving',
        '_record',
        '_report',
        '_reported_ms',
        '_returns',
        '_sends',
    )

    def __init__(self, *, record: NodeRecord, heard_ms: int | None) -> None:
        self._record = record
        self._heard_ms = heard_ms
        self._introductions = 0
        self._is_leaving = False
        self._returns = False
        self._report: LoadReport | None = None
        self._reported_ms = 0
        self._sends = 0

    @property
    def record(self) -> NodeRecord:
        """Identity of the peer."""
        return self._record

    @property
    def host(self) -> str:
        """IPv4 address of the peer."""
        return self._record.host

    @property
    def heard_ms(self) -> int | None:
        """Monotonic time of the last message from the peer."""
        return self._heard_ms

    @property
    def introductions(self) -> int:
        """Unanswered introductions sent to the peer."""
        return self._introductions

    @property
    def is_leaving(self) -> bool:
        """Whether the peer is stopping by request."""
        return self._is_leaving

    @property
    def report(self) -> LoadReport | None:
        """Last report of the peer."""
        return self._report

    @property
    def accepts(self) -> bool:
        """Whether the last report allows new flows."""
        if self._is_leaving or self._report is None:
            return False
        return self._report.accepts

    @property
    def is_failing(self) -> bool:
        """Whether the target of the peer fails its requests."""
        return self._report is not None and self._report.is_failing

    @property
    def load(self) -> float:
        """Expected requests per slot, own sends included."""
        report = self._report
        if report is None:
            return 0
        requests = (
            _NOW_WEIGHT * report.working
            + _MEAN_WEIGHT * report.busy
            + _SEND_WEIGHT * self._sends
        )
        if report.cold_ms > 0:
            requests = (requests + 1) * _COLD_FACTOR
        return requests / max(report.slots, 1)

    def is_fresh(self, now_ms: int) -> bool:
        """Whether the last report is recent; several were lost otherwise."""
        report = self._report
        if report is None:
            return False
        return self.age_ms(now_ms) <= report.period_ms * _LOST_REPORTS

    def age_ms(self, now_ms: int) -> int:
        """Age of the last report."""
        return now_ms - self._reported_ms

    def hear(self, now_ms: int) -> None:
        """Notes a message from the peer."""
        self._heard_ms = now_ms
        self._introductions = 0

    def introduce(self) -> None:
        """Counts an introduction sent to the peer."""
        self._introductions += 1

    def is_gone(self, now_ms: int) -> bool:
        """Whether the peer was silent for too long to come back with flows."""
        if self._heard_ms is None:
            return False
        limit_ms = _RETURN_MS if self._returns else _GONE_MS
        return now_ms - self._heard_ms > limit_ms

    def leave(self, *, returns: bool) -> None:
        """Notes that the peer is stopping.

        Args:
            returns: Whether its target keeps its flows meanwhile.
        """
        self._is_leaving = True
        self._returns = returns

    def take(self, report: LoadReport, now_ms: int) -> None:
        """Takes a report over, unless it is older than the last one."""
        last = self._report
        if last is not None and report.sequence <= last.sequence:
            return
        self._report = report
        self._reported_ms = now_ms
        self._sends = 0

    def count_send(self) -> None:
        """Counts a flow placed on the peer."""
        self._sends += 1
