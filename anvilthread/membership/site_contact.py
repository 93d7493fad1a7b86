"""Evidence of contact with the members of each site."""

from collections import deque

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.exchange import Exchange
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.membership_settings import MembershipSettings

_SMOOTHING = 8

#: Answers among which a peer for a comparison of tables is chosen.
_RECENT = 8


class _Site:
    __slots__ = ('answers', 'asked_ms', 'round_trip_ms')

    def __init__(self, round_trip_ms: float) -> None:
        #: When the request was sent that each of the last two members to
        #: answer has answered.
        self.answers: dict[Address, int] = {}
        self.asked_ms: int | None = None
        self.round_trip_ms = round_trip_ms


class SiteContact:
    """Remembers the last answers from each site.

    Only answers to own requests count, and their age counts from the request:
    a message from a peer does not show that the peer can be reached.

    Args:
        clock: Clock of the answers.
        settings: Windows and periods.
    """

    __slots__ = ('_clock', '_recent', '_settings', '_sites', '_wanted')

    def __init__(self, *, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._sites: dict[str, _Site] = {}
        self._recent: deque[Address] = deque(maxlen=_RECENT)
        self._wanted: dict[str, None] = {}

    @property
    def recent(self) -> list[Address]:
        """Members that answered last."""
        return list(self._recent)

    def welcome(self, address: Address) -> None:
        """Records a member that answered without being probed."""
        self._recent.append(address)

    def note(self, exchange: Exchange) -> None:
        """Records an answer."""
        peer = exchange.peer
        self._recent.append(peer.control_address)
        round_trip_ms = self._clock.now_ms() - exchange.sent_ms
        site = self._sites.setdefault(peer.site, _Site(round_trip_ms))
        change_ms = round_trip_ms - site.round_trip_ms
        site.round_trip_ms += change_ms / _SMOOTHING
        latest_ms = max(
            exchange.sent_ms, site.answers.pop(peer.control_address, 0)
        )
        site.answers[peer.control_address] = latest_ms
        if len(site.answers) > 2:
            site.answers.pop(min(site.answers, key=site.answers.__getitem__))

    def on_change(self, change: MemberChange) -> None:
        """Forgets the answers of a member that died, and checks its site."""
        member = change.after
        if member is None or member.is_live:
            return
        if member.site in self._sites:
            answers = self._sites[member.site].answers
            answers.pop(member.control_address, None)
        if change.before is not None and change.before.is_live:
            self.want(member.site)

    def heard(
        self, site: str, since_ms: int, *, besides: Address | None = None
    ) -> bool:
        """Whether a member answered a request sent at or after a time.

        Args:
            site: Name of the site.
            since_ms: Earliest time of the request.
            besides: Member whose answers do not count.
        """
        if site not in self._sites:
            return False
        answers = self._sites[site].answers
        return any(
            sent_ms >= since_ms
            for address, sent_ms in answers.items()
            if address != besides
        )

    def heard_any(
        self, since_ms: int, *, besides: Address | None = None
    ) -> bool:
        """Whether any member of any site answered since a time."""
        return any(
            self.heard(site, since_ms, besides=besides) for site in self._sites
        )

    def in_contact(self, site: str) -> bool:
        """Whether a member answered within the contact window.

        When the last answer gets old, members of the site are asked soon.
        """
        now_ms = self._clock.now_ms()
        window_ms = self._settings.contact_window_ms
        if not self.heard(site, now_ms - window_ms // 2):
            self.want(site)
        return self.heard(site, now_ms - window_ms)

    def is_silent(self, site: str) -> bool:
        """Whether the last answer from a site is too old."""
        silence_ms = self._settings.site_silence_ms
        return not self.heard(site, self._clock.now_ms() - silence_ms)

    def round_trip_ms(self, site: str) -> float:
        """Smoothed round trip; 0 as long as it is unknown."""
        if site not in self._sites:
            return 0
        return self._sites[site].round_trip_ms

    def want(self, site: str) -> None:
        """Asks for a check of a site, as soon as one is due again."""
        self._wanted[site] = None

    def take_wanted(self) -> list[str]:
        """Returns the sites to check now."""
        now_ms = self._clock.now_ms()
        earliest_ms = now_ms - self._settings.site_check_period_ms
        due = []
        for name in list(self._wanted):
            site = self._sites.setdefault(name, _Site(0))
            if site.asked_ms is None or site.asked_ms <= earliest_ms:
                site.asked_ms = now_ms
                self._wanted.pop(name)
                due.append(name)
        return due

    def reset(self) -> None:
        """Forgets all answers, after a freeze."""
        self._recent.clear()
        for site in self._sites.values():
            site.answers.clear()
