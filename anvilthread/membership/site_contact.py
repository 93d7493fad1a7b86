"""Contact with sites, by the answers of their members."""

from collections import deque

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.pending_request import PendingRequest

#: A new round trip has a weight of one in this many in the moving average.
_SMOOTHING_DIVISOR = 8

#: Number of recent answers; a peer for a table comparison is one of them.
_RECENT_ANSWERS = 8


class _SiteState:
    __slots__ = ('answers', 'checked_ms', 'round_trip_ms')

    def __init__(self, round_trip_ms: float) -> None:
        #: Send time of the last answered request, for each of the two
        #: members with the latest ones.
        self.answers: dict[Address, int] = {}
        self.checked_ms: int | None = None
        self.round_trip_ms = round_trip_ms


class SiteContact:
    """Records the last answers from each site.

    Only answers to requests of this node count, and their age counts from the
    request: a message from a peer does not prove that the peer is reachable.

    Args:
        clock: Clock of the answers.
        settings: Contact window, silence limit and check period.
    """

    __slots__ = (
        '_clock',
        '_recent',
        '_requested_checks',
        '_settings',
        '_sites',
    )

    def __init__(self, *, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._sites: dict[str, _SiteState] = {}
        self._recent: deque[Address] = deque(maxlen=_RECENT_ANSWERS)
        self._requested_checks: dict[str, None] = {}

    @property
    def recent(self) -> list[Address]:
        """Members that answered most recently, with repetitions."""
        return list(self._recent)

    def add_recent(self, address: Address) -> None:
        """Records a member that answered a request other than a ping."""
        self._recent.append(address)

    def record_answer(self, request: PendingRequest) -> None:
        """Records an answer."""
        peer = request.peer
        self._recent.append(peer.control_address)
        round_trip_ms = self._clock.now_ms() - request.sent_ms
        site = self._sites.setdefault(peer.site, _SiteState(round_trip_ms))
        change_ms = round_trip_ms - site.round_trip_ms
        site.round_trip_ms += change_ms / _SMOOTHING_DIVISOR
        latest_ms = max(
            request.sent_ms, site.answers.pop(peer.control_address, 0)
        )
        site.answers[peer.control_address] = latest_ms
        if len(site.answers) > 2:
            site.answers.pop(min(site.answers, key=site.answers.__getitem__))

    def on_change(self, change: MemberChange) -> None:
        """Drops the answers of a member that died, and requests a site check."""
        member = change.after
        if member is None or member.is_live:
            return
        if member.site in self._sites:
            answers = self._sites[member.site].answers
            answers.pop(member.control_address, None)
        if change.before is not None and change.before.is_live:
            self.request_check(member.site)

    def answered_since(
        self, site: str, since_ms: int, *, excluding: Address | None = None
    ) -> bool:
        """Whether a member answered a request sent at or after a time.

        Args:
            site: Name of the site.
            since_ms: Earliest time of the request.
            excluding: Member whose answers do not count.
        """
        if site not in self._sites:
            return False
        answers = self._sites[site].answers
        return any(
            sent_ms >= since_ms
            for address, sent_ms in answers.items()
            if address != excluding
        )

    def any_answered_since(
        self, since_ms: int, *, excluding: Address | None = None
    ) -> bool:
        """Whether any member of any site answered a request since a time."""
        return any(
            self.answered_since(site, since_ms, excluding=excluding)
            for site in self._sites
        )

    def in_contact(self, site: str) -> bool:
        """Whether a member answered within the contact window.

        Requests a check of the site when half of the window has passed.
        """
        now_ms = self._clock.now_ms()
        window_ms = self._settings.contact_window_ms
        if not self.answered_since(site, now_ms - window_ms // 2):
            self.request_check(site)
        return self.answered_since(site, now_ms - window_ms)

    def is_silent(self, site: str) -> bool:
        """Whether the last answer from a site is too old."""
        silence_ms = self._settings.site_silence_ms
        return not self.answered_since(site, self._clock.now_ms() - silence_ms)

    def round_trip_ms(self, site: str) -> float:
        """Moving average of the round trip; 0 until it is known."""
        if site not in self._sites:
            return 0
        return self._sites[site].round_trip_ms

    def request_check(self, site: str) -> None:
        """Requests a check of a site once its check period has passed."""
        self._requested_checks[site] = None

    def pop_due_checks(self) -> list[str]:
        """Removes and returns the requested checks that are due."""
        now_ms = self._clock.now_ms()
        earliest_ms = now_ms - self._settings.site_check_period_ms
        due = []
        for name in list(self._requested_checks):
            site = self._sites.setdefault(name, _SiteState(0))
            if site.checked_ms is None or site.checked_ms <= earliest_ms:
                site.checked_ms = now_ms
                self._requested_checks.pop(name)
                due.append(name)
        return due

    def reset(self) -> None:
        """Drops all answers, after a freeze."""
        self._recent.clear()
        for site in self._sites.values():
            site.answers.clear()
