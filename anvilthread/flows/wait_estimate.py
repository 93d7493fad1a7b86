"""The expected wait for a new flow at an agent."""

from typing import Final

from anvilthread.flows.node_messages import LoadReport

#: Longest run time or wait that a report may contain. Clients give up an
#: opening packet after 1.4 s and a request after seconds, so that longer times
#: are faults of the sender.
_MAX_PLAUSIBLE_MS: Final = 60_000

#: Factor by which a cold target is slower, from the site files.
COLD_FACTOR: Final = 1.6


class WaitEstimate:
    """Wait for one agent's target: from its reports, refusals and new flows.

    A target whose run time is unknown has answered nothing yet; its agent
    cannot tell a wait, which is then derived from the number of its requests.
    """

    __slots__ = (
        '_base_ms',
        '_excess',
        '_has_faults',
        '_is_cold',
        '_is_told',
        '_reported_ms',
        '_run_ms',
        '_sends',
        '_slots',
        '_utilisation',
    )

    def __init__(self) -> None:
        #: Wait without the flows placed since it was told; None if unknown.
        self._base_ms: float | None = None
        #: Requests that a new one finds at the target beyond its free slots.
        self._excess = 0
        self._has_faults = False
        self._is_cold = False
        self._is_told = False
        self._reported_ms: float = 0
        self._run_ms: float = 0
        self._sends = 0
        self._slots = 1
        self._utilisation: float = 0

    @property
    def is_told(self) -> bool:
        """Whether the agent limits the requests at its target.

        Such an agent tells the wait; the others report only counts.
        """
        return self._is_told

    @property
    def reported_ms(self) -> float:
        """Wait in ms by the last report; 0 if it is not told or implausible."""
        return self._reported_ms

    @property
    def run_ms(self) -> float:
        """Time that the target takes for a request; 0 if unknown."""
        return self._run_ms

    @property
    def has_faults(self) -> bool:
        """Whether any report contained an implausible time."""
        return self._has_faults

    @property
    def utilisation(self) -> float:
        """Mean number of requests per slot; higher for a cold target."""
        return self._utilisation

    def update(self, report: LoadReport) -> None:
        """Replaces the estimate by that of a report."""
        self._is_told = report.limit > 0
        self._sends = 0
        self._slots = max(report.slots, 1)
        self._is_cold = report.cold_ms > 0
        self._utilisation = report.busy / self._slots
        if self._is_cold:
            self._utilisation = (report.busy + 1) * COLD_FACTOR / self._slots
        requests = max(report.working, 0) + max(report.waiting, 0)
        self._excess = max(requests - self._slots + 1, 0)
        self._run_ms = self._checked(report.run_ms) or 0
        wait_ms = self._checked(report.wait_ms)
        self._base_ms = wait_ms if self._run_ms else None
        self._reported_ms = wait_ms or 0 if self._is_told else 0

    def correct(self, wait_ms: int) -> None:
        """Replaces the wait by that of a refusal, if it is plausible."""
        if 0 <= wait_ms <= _MAX_PLAUSIBLE_MS:
            self._base_ms = wait_ms
            self._sends = 0

    def count_send(self) -> None:
        """Counts a flow placed since the last report or refusal."""
        self._sends += 1

    def expected_ms(self, typical_run_ms: float) -> float:
        """Returns the expected wait for a new flow in ms.

        Args:
            typical_run_ms: Run time of a warm target of the service, for a
                target whose own is unknown.
        """
        run_ms = self._run_ms
        if not run_ms:
            run_ms = typical_run_ms
            if self._is_cold:
                run_ms *= COLD_FACTOR
        run_ms /= self._slots
        base_ms = self._base_ms
        if base_ms is None:
            base_ms = self._excess * run_ms
        return base_ms + self._sends * run_ms

    def _checked(self, time_ms: float) -> float | None:
        """Returns a time of a report; None, also for NaN, if implausible."""
        if 0 <= time_ms <= _MAX_PLAUSIBLE_MS:
            return time_ms
        self._has_faults = True
        return None
