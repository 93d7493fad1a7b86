"""The evacuated sites in force at one node."""

from collections.abc import Callable, Collection
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.telemetry.log import Log

#: Time for which a site stays evacuated after the store has been restored from
#: a copy that does not name it. The copy may be some seconds older than the
#: request of the operator, who then writes it again.
_RETENTION_MS: Final = 10_000

#: Time that a node takes at most to learn of all others. A site counts as
#: unknown only after that.
_DISCOVERY_MS: Final = 3000

#: Ignored names that are logged; the rest is only counted.
_MAX_LOGGED_NAMES: Final = 5
_MAX_LOGGED_CHARACTERS: Final = 40

_UNKNOWN_AGE_MS: Final = -1

EvacuationListener = Callable[[], None]


class EvacuationHolder:
    """Holds the highest view seen; a lower one never replaces it.

    Args:
        clock: Clock for the age of the view and for the retention of sites.
        log: Receives each change.
        is_enabled: Whether sites are evacuated in this deployment. If not, all
            views are ignored.
    """

    __slots__ = (
        '_changed_ms',
        '_clock',
        '_ignored',
        '_is_enabled',
        '_listeners',
        '_log',
        '_retained',
        '_seen_ms',
        '_sites',
        '_unknown',
        '_view',
    )

    def __init__(
        self, *, clock: Clock, log: Log, is_enabled: bool = True
    ) -> None:
        self._clock = clock
        self._log = log
        self._is_enabled = is_enabled
        self._view: EvacuationView | None = None
        self._sites: frozenset[str] = frozenset()
        #: Time until which sites of the previous era stay evacuated.
        self._retained: dict[str, int] = {}
        self._seen_ms: int | None = None
        self._changed_ms = clock.now_ms()
        #: Names that were logged as ignored, and as unknown.
        self._ignored: tuple[str, ...] = ()
        self._unknown: set[str] = set()
        self._listeners: list[EvacuationListener] = []

    @property
    def is_enabled(self) -> bool:
        """Whether sites are evacuated in this deployment."""
        return self._is_enabled

    @property
    def is_known(self) -> bool:
        """Whether it is known which sites are evacuated."""
        return self._view is not None or not self._is_enabled

    @property
    def view(self) -> EvacuationView | None:
        """The view in force; None if none is known."""
        return self._view

    @property
    def sites(self) -> frozenset[str]:
        """Sites that are evacuated, by the view or by retention."""
        return self._sites

    @property
    def age_ms(self) -> int:
        """Time in ms since the store held the view in force; -1 if unknown."""
        if self._seen_ms is None:
            return _UNKNOWN_AGE_MS
        return self._clock.now_ms() - self._seen_ms

    def subscribe(self, listener: EvacuationListener) -> None:
        """Calls a listener after each change of the evacuated sites."""
        self._listeners.append(listener)

    def update(
        self, view: EvacuationView, source: str, age_ms: int = _UNKNOWN_AGE_MS
    ) -> None:
        """Puts a view in force if it is higher than the current one.

        Args:
            view: The view.
            source: Its origin, for the log.
            age_ms: Time since the store held the view; negative if unknown.
        """
        if not self._is_enabled:
            return
        if not view.is_valid:
            self._log.warning(
                'evacuation_ignored',
                source=source,
                era=view.era,
                revision=view.revision,
                remedy='none needed; the last view stays in force',
            )
            return
        current = self._view
        previous_age_ms = self.age_ms
        if current is None or view.order > current.order:
            self._retain(current, view)
            self._view = view
            self.confirm(age_ms)
            self._apply(source, previous_age_ms, is_first=current is None)
        elif view.order == current.order:
            self.confirm(age_ms)

    def confirm(self, age_ms: int) -> None:
        """Records that the store held nothing above the view in force.

        Args:
            age_ms: Age of the store's answer in ms; negative if unknown.
        """
        if age_ms < 0:
            return
        seen_ms = self._clock.now_ms() - age_ms
        if self._seen_ms is None or seen_ms > self._seen_ms:
            self._seen_ms = seen_ms

    def ignore(self, names: tuple[str, ...], source: str) -> None:
        """Logs names in the store that cannot be sites, once per change."""
        if names != self._ignored and names:
            self._log.warning(
                'evacuation_ignored',
                source=source,
                count=len(names),
                names=','.join(
                    ascii(name[:_MAX_LOGGED_CHARACTERS])
                    for name in names[:_MAX_LOGGED_NAMES]
                ),
                remedy='remove the keys from the store',
            )
        self._ignored = names

    def tick(self, find_sites: Callable[[], Collection[str]]) -> None:
        """Ends the retention of sites, and logs unknown ones.

        Args:
            find_sites: Returns the sites of all known nodes.
        """
        now_ms = self._clock.now_ms()
        expired = [
            site
            for site, until_ms in self._retained.items()
            if now_ms >= until_ms
        ]
        for site in expired:
            self._retained.pop(site)
        if expired:
            self._apply('retention_ended', self.age_ms)
        if self._sites and now_ms - self._changed_ms >= _DISCOVERY_MS:
            self._report_unknown(self._sites.difference(find_sites()))

    def _retain(
        self, current: EvacuationView | None, view: EvacuationView
    ) -> None:
        """Keeps sites evacuated that a restored store may have lost."""
        if current is not None and view.era > current.era:
            until_ms = self._clock.now_ms() + _RETENTION_MS
            self._retained = dict.fromkeys(self._sites, until_ms)
        for site in view.sites:
            # From now on, its removal from the store counts.
            self._retained.pop(site, None)

    def _apply(
        self, source: str, previous_age_ms: int, *, is_first: bool = False
    ) -> None:
        assert self._view is not None
        sites = frozenset((*self._view.sites, *self._retained))
        if sites == self._sites and not is_first:
            return
        self._sites = sites
        self._unknown &= sites
        self._changed_ms = self._clock.now_ms()
        self._log.event(
            'evacuation_changed',
            sites=','.join(sorted(sites)),
            retained=','.join(sorted(self._retained)),
            era=self._view.era,
            revision=self._view.revision,
            source=source,
            previous_age_ms=previous_age_ms,
            fits_hello=self._view.fits_hello,
        )
        for listener in self._listeners:
            listener()

    def _report_unknown(self, sites: frozenset[str]) -> None:
        for site in sorted(sites - self._unknown):
            self._log.warning(
                'evacuation_unknown_site',
                site=site,
                remedy='check the name of the site, and write it again',
            )
        self._unknown = set(sites)
