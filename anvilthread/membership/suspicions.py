"""The members that this node suspects."""

from collections.abc import Callable

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.member import Member
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.suspicion import Suspicion


class Suspicions:
    """Suspicions by control address.

    A suspicion ends when the member is refuted, dead or forgotten.

    Args:
        clock: Clock of the suspicions.
        settings: Suspicion timeouts.
    """

    __slots__ = ('_clock', '_listeners', '_settings', '_suspicions')

    def __init__(self, *, clock: Clock, settings: MembershipSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._suspicions: dict[Address, Suspicion] = {}
        self._listeners: list[Callable[[Address], None]] = []

    def subscribe(self, listener: Callable[[Address], None]) -> None:
        """Calls a listener when a member becomes suspected."""
        self._listeners.append(listener)

    @property
    def current(self) -> list[tuple[Address, Suspicion]]:
        """A copy of the suspicions."""
        return list(self._suspicions.items())

    def get(self, address: Address) -> Suspicion | None:
        """Returns the suspicion of a member."""
        return self._suspicions.get(address)

    def report(self, member: Member, reporter: Address) -> bool:
        """Adds a report; returns whether to disseminate it."""
        address = member.control_address
        suspicion = self._suspicions.get(address)
        if suspicion is None:
            suspicion = Suspicion(
                incarnation=member.incarnation,
                now_ms=self._clock.now_ms(),
                settings=self._settings,
            )
            self._suspicions[address] = suspicion
            for listener in self._listeners:
                listener(address)
        return suspicion.add_report(reporter)

    def on_change(self, change: MemberChange) -> None:
        """Ends the suspicion of a member that is refuted, dead or forgotten."""
        member = change.after
        if member is None:
            if change.before is not None:
                self._suspicions.pop(change.before.control_address, None)
            return
        suspicion = self._suspicions.get(member.control_address)
        if suspicion is None:
            return
        if not member.is_live or member.incarnation != suspicion.incarnation:
            self._suspicions.pop(member.control_address)

    def restart(self) -> None:
        """Restarts all suspicions, after a freeze."""
        for suspicion in self._suspicions.values():
            suspicion.restart(self._clock.now_ms())

    def extend(self, duration_ms: int) -> None:
        """Excludes a time in which this node did not run."""
        for suspicion in self._suspicions.values():
            suspicion.extend(duration_ms)
