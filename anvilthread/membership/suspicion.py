"""The suspicion of one member."""

import math

from anvilthread.address import Address
from anvilthread.membership.membership_settings import MembershipSettings


class Suspicion:
    """Who suspects a member, and when this node gives up on it.

    Only nodes that have probed the member themselves declare it dead; they go
    on probing it until then. The others wait for the announcement.

    Args:
        incarnation: Suspected incarnation.
        now_ms: Time of the first report.
        settings: Suspicion times.
    """

    __slots__ = (
        '_asked_ms',
        '_incarnation',
        '_probed_ms',
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
        self._probed_ms: int | None = None
        self._reporters: set[Address] = set()
        self._asked_ms = now_ms

    @property
    def incarnation(self) -> int:
        """Suspected incarnation."""
        return self._incarnation

    @property
    def probed_ms(self) -> int | None:
        """When an own probe failed, or None."""
        return self._probed_ms

    @property
    def since_ms(self) -> int:
        """Time of the first report, or of the last restart."""
        return self._since_ms

    def must_ask(self, now_ms: int) -> bool:
        """Whether it is time to find out more about the member.

        A node that has probed the member probes it again; another one asks
        a peer what has become of it.
        """
        period_ms = self._settings.suspect_probe_period_ms
        if self._probed_ms is None:
            period_ms = self._settings.suspicion_inquiry_ms
        if now_ms - self._asked_ms < period_ms:
            return False
        self._asked_ms = now_ms
        return True

    def add(self, reporter: Address) -> bool:
        """Counts a report; returns whether the reporter is worth telling."""
        known = len(self._reporters)
        self._reporters.add(reporter)
        wanted = self._settings.suspicion_confirmations + 1
        return known < len(self._reporters) <= wanted

    def probe_failed(self, now_ms: int) -> None:
        """Records that an own probe has failed."""
        if self._probed_ms is None:
            self._probed_ms = now_ms

    def restart(self, now_ms: int) -> None:
        """Starts again, after an answer or a freeze."""
        self._since_ms = now_ms
        self._probed_ms = None

    def delay(self, duration_ms: int) -> None:
        """Excludes time in which this node did not run."""
        self._since_ms += duration_ms
        if self._probed_ms is not None:
            self._probed_ms += duration_ms

    def due_ms(self, members: int) -> float:
        """When the member is declared dead, as Lifeguard computes it.

        Args:
            members: Number of live members, from which the number of
                possible confirmations follows.
        """
        if self._probed_ms is None:
            return math.inf
        shortest = self._settings.suspicion_min_ms
        wanted = min(self._settings.suspicion_confirmations, members - 2)
        confirmed = min(len(self._reporters) - 1, wanted)
        if wanted <= confirmed:
            return self._probed_ms + shortest
        share = math.log(confirmed + 1) / math.log(wanted + 1)
        spread = self._settings.suspicion_max_ms - shortest
        return self._probed_ms + shortest + spread * (1 - share)
