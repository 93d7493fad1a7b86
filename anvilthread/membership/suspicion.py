"""The suspicion of one member."""

import math

from anvilthread.address import Address
from anvilthread.membership.membership_settings import MembershipSettings


class Suspicion:
    """Reporters of a suspected member, and the timer until its death.

    Only nodes whose own probe of the member has failed declare it dead; they
    continue to probe it until then. The others wait for the announcement.

    Args:
        incarnation: Suspected incarnation.
        now_ms: Time of the first report.
        settings: Suspicion timeouts.
    """

    __slots__ = (
        '_failed_probe_ms',
        '_incarnation',
        '_inquired_ms',
        '_reporters',
        '_settings',
        '_since_ms',
    )

    def __init__(
        self, *, incarnation: int, now_ms: int, settings: MembershipSettings
    ) -> None:
        self._incarnation = incarnation
        self._since_ms = now_ms
        self._settings = settings
        self._failed_probe_ms: int | None = None
        self._reporters: set[Address] = set()
        self._inquired_ms = now_ms

    @property
    def incarnation(self) -> int:
        """Suspected incarnation."""
        return self._incarnation

    @property
    def failed_probe_ms(self) -> int | None:
        """When a probe by this node failed, or None."""
        return self._failed_probe_ms

    @property
    def since_ms(self) -> int:
        """Time of the first report, or of the last restart."""
        return self._since_ms

    def is_inquiry_due(self, now_ms: int) -> bool:
        """Whether an inquiry about the member is due; restarts its period.

        A node whose probe has failed probes the member again; any other node
        asks a peer for the state of the member.
        """
        period_ms = self._settings.suspect_probe_period_ms
        if self._failed_probe_ms is None:
            period_ms = self._settings.suspicion_inquiry_ms
        if now_ms - self._inquired_ms < period_ms:
            return False
        self._inquired_ms = now_ms
        return True

    def add_report(self, reporter: Address) -> bool:
        """Adds a report; returns whether it is new and still needed."""
        known = len(self._reporters)
        self._reporters.add(reporter)
        needed = self._settings.suspicion_confirmations + 1
        return known < len(self._reporters) <= needed

    def record_failed_probe(self, now_ms: int) -> None:
        """Records that a probe by this node has failed."""
        if self._failed_probe_ms is None:
            self._failed_probe_ms = now_ms

    def restart(self, now_ms: int) -> None:
        """Restarts the suspicion, after an answer or a freeze."""
        self._since_ms = now_ms
        self._failed_probe_ms = None

    def extend(self, duration_ms: int) -> None:
        """Excludes a time in which this node did not run."""
        self._since_ms += duration_ms
        if self._failed_probe_ms is not None:
            self._failed_probe_ms += duration_ms

    def due_ms(self, live_members: int) -> float:
        """When the member is declared dead, as Lifeguard computes it.

        Args:
            live_members: Number of live members; limits the number of
                possible confirmations.
        """
        if self._failed_probe_ms is None:
            return math.inf
        min_ms = self._settings.suspicion_min_ms
        needed = min(self._settings.suspicion_confirmations, live_members - 2)
        confirmed = min(len(self._reporters) - 1, needed)
        if needed <= confirmed:
            return self._failed_probe_ms + min_ms
        progress = math.log(confirmed + 1) / math.log(needed + 1)
        range_ms = self._settings.suspicion_max_ms - min_ms
        return self._failed_probe_ms + min_ms + range_ms * (1 - progress)
