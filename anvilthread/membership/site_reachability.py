"""Reachability of sites from one node."""

from collections.abc import Callable

from anvilthread.membership.member import Member

SiteListener = Callable[[str, bool], None]


class SiteReachability:
    """Records the sites without a member that answers this node.

    Their members are not declared dead, because a partition must not break
    connections that still work over another path.
    """

    __slots__ = ('_listeners', '_unreachable')

    def __init__(self) -> None:
        self._listeners: list[SiteListener] = []
        self._unreachable: set[str] = set()

    def __contains__(self, site: str) -> bool:
        return site not in self._unreachable

    def select(self, members: list[Member]) -> list[Member]:
        """Returns the members whose site is reachable."""
        if not self._unreachable:
            return members
        return [
            member for member in members if member.site not in self._unreachable
        ]

    def subscribe(self, listener: SiteListener) -> None:
        """Calls a listener with a site and whether it is reachable now."""
        self._listeners.append(listener)

    def set_reachable(self, site: str, *, reachable: bool) -> None:
        """Records that contact with a site was lost or restored."""
        if reachable == (site in self):
            return
        if reachable:
            self._unreachable.discard(site)
        else:
            self._unreachable.add(site)
        for listener in self._listeners:
            listener(site, reachable)
