"""The state of a peer as seen by one node."""

import zlib
from typing import Final

from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord
from anvilthread.flows.wait_estimate import COLD_FACTOR, WaitEstimate

#: Requests that one flow placed since the last report counts as. Opening a
#: flow takes a round trip, after which the report includes its request.
_SEND_WEIGHT: Final = 0.7

#: Report periods without a report after which the last one is stale.
_STALE_REPORT_PERIODS: Final = 4.5

#: Silence after which a peer counts as gone: longer than the restart of a
#: killed process (2 s), and the time after which the users no longer count a
#: node as in touch (4 to 5 s).
_GONE_TIMEOUT_MS: Final = 4000

#: Report periods for which an agent is silent before it counts as gone, where
#: they are longer than that: one report may be lost.
_GONE_REPORT_PERIODS: Final = 3

#: The same for a peer that has announced that it returns with its flows: a
#: restart by request, including the longest time that the platform gives a
#: process to stop (6 s).
_RESTART_TIMEOUT_MS: Final = 10_000

#: Weights of the current number of requests and of its recent mean. Equal,
#: since either alone misleads: the current number is up to one report period
#: old, and the mean rises slowly when a queue builds up.
_CURRENT_WEIGHT: Final = 0.5
_MEAN_WEIGHT: Final = 0.5


class KnownNode:
    """A peer, its last report and the flows placed on it since.

    Args:
        record: Identity of the peer.
        last_seen_ms: Monotonic time of its last message; None if it is known
            only from the lists of other peers.
    """

    __slots__ = (
        '_host_hash',
        '_is_leaving',
        '_last_seen_ms',
        '_record',
        '_report',
        '_reported_ms',
        '_returns',
        '_sends',
        '_unanswered_hellos',
        '_wait',
    )

    def __init__(self, *, record: NodeRecord, last_seen_ms: int | None) -> None:
        self._record = record
        self._host_hash = zlib.crc32(record.host.encode())
        self._last_seen_ms = last_seen_ms
        self._unanswered_hellos = 0
        self._is_leaving = False
        self._returns = False
        self._report: LoadReport | None = None
        self._reported_ms = 0
        self._sends = 0
        self._wait = WaitEstimate()

    @property
    def record(self) -> NodeRecord:
        """Identity of the peer."""
        return self._record

    @property
    def host(self) -> str:
        """IPv4 address of the peer."""
        return self._record.host

    @property
    def host_hash(self) -> int:
        """Hash of the host, for rendezvous hashing."""
        return self._host_hash

    @property
    def last_seen_ms(self) -> int | None:
        """Monotonic time of the last message from the peer; None if none."""
        return self._last_seen_ms

    @property
    def unanswered_hellos(self) -> int:
        """Number of unanswered hellos sent to the peer."""
        return self._unanswered_hellos

    @property
    def is_leaving(self) -> bool:
        """Whether the peer has announced that it stops."""
        return self._is_leaving

    @property
    def report(self) -> LoadReport | None:
        """Last report of the peer; None if none has arrived."""
        return self._report

    @property
    def accepts(self) -> bool:
        """Whether the last report allows new flows."""
        if self._is_leaving or self._report is None:
            return False
        return self._report.accepts

    @property
    def is_failing(self) -> bool:
        """Whether the target of the peer is an outlier by its failures."""
        return self._report is not None and self._report.is_failing

    @property
    def load(self) -> float:
        """Expected requests per slot, including flows placed by this node."""
        report = self._report
        if report is None:
            return 0
        requests = (
            _CURRENT_WEIGHT * report.working
            + _MEAN_WEIGHT * report.busy
            + _SEND_WEIGHT * self._sends
        )
        if report.cold_ms > 0:
            requests = (requests + 1) * COLD_FACTOR
        return requests / max(report.slots, 1)

    @property
    def wait(self) -> WaitEstimate:
        """Expected wait for a new flow at the peer's target."""
        return self._wait

    def is_fresh(self, now_ms: int) -> bool:
        """Whether the last report is recent; if not, several were lost."""
        report = self._report
        if report is None:
            return False
        return self.age_ms(now_ms) <= report.period_ms * _STALE_REPORT_PERIODS

    def age_ms(self, now_ms: int) -> int:
        """Age of the last report in ms."""
        return now_ms - self._reported_ms

    def record_message(self, now_ms: int) -> None:
        """Records a message from the peer."""
        self._last_seen_ms = now_ms
        self._unanswered_hellos = 0

    def count_hello(self) -> None:
        """Counts a hello sent to the peer."""
        self._unanswered_hellos += 1

    def is_gone(self, now_ms: int) -> bool:
        """Whether the peer was silent for too long to return with its flows."""
        if self._last_seen_ms is None:
            return False
        limit_ms = _RESTART_TIMEOUT_MS if self._returns else _GONE_TIMEOUT_MS
        if self._report is not None:
            silence_ms = self._report.period_ms * _GONE_REPORT_PERIODS
            limit_ms = max(limit_ms, silence_ms)
        return now_ms - self._last_seen_ms > limit_ms

    def may_hold_flows(self, now_ms: int) -> bool:
        """Whether the peer's target may hold flows that are open."""
        if self._is_leaving and not self._returns:
            return False
        return not self.is_gone(now_ms)

    def uptime_ms(self, now_ms: int) -> int:
        """Time in ms since the start of the peer's process, by its report."""
        report = self._report
        if report is None:
            return 0
        return report.uptime_ms + self.age_ms(now_ms)

    @property
    def has_new_target(self) -> bool:
        """Whether the peer's target holds no flow from before its start."""
        return self._report is not None and self._report.has_new_target

    def leave(self, *, returns: bool) -> None:
        """Records that the peer stops.

        Args:
            returns: Whether its target keeps its flows meanwhile.
        """
        self._is_leaving = True
        self._returns = returns

    def update_report(self, report: LoadReport, now_ms: int) -> None:
        """Replaces the last report, unless the given one is older."""
        last = self._report
        if last is not None and report.sequence <= last.sequence:
            return
        self._report = report
        self._reported_ms = now_ms
        self._sends = 0
        self._wait.update(report)

    def correct_wait(self, wait_ms: int) -> None:
        """Replaces the expected wait of the last report.

        Args:
            wait_ms: Expected wait for a new flow, from a refusal of the peer.
        """
        self._wait.correct(wait_ms)

    def count_send(self) -> None:
        """Counts a flow placed on the peer since its last report."""
        self._sends += 1
        self._wait.count_send()
