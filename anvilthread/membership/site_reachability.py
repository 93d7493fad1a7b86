"""Sites that one node has lost contact with."""

from collections.abc import Callable

from anvilthread.membership.member import Member

SiteListener = Callable[[str, bool], None]


class SiteReachability:
    """Remembers the sites none of whose members answers this node.

    Their members are not declared dead, because a partition must not break
    connections that work by another way.
    """

    __slots__ = ('_listeners', '_unreachable')

    def __init__(self) -> None:
        self._listeners: list[SiteListener] = []
        self._unreachable: set[str] = set()

    def __contains__(self, site: str) -> bool:
        return site not in self._unreachable

    def select(self, members: list[Member]) -> list[Member]:
        """Returns those members whose site can be reached."""
        if not self._unreachable:
            return members
        return [it for it in members if it.site not in self._unreachable]

    def subscribe(self, listener: SiteListener) -> None:
        """Calls a listener with a site and whether it is reachable now."""
        self._listeners.append(listener)

    def change(self, site: str, *, reachable: bool) -> None:
        """Records that contact with a site was lost or is back."""
        if reachable == (site in self):
            return
        if reachable:
            self._unreachable.discard(site)
        else:
            self._unreachable.add(site)
        for listener in self._listeners:
            listener(site, reachable)
