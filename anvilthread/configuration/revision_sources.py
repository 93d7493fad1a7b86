"""Peers that are known to hold a higher revision."""

from typing import Final

from anvilthread.address import Address

_MAX_SOURCES: Final = 32
#: Attempts at one peer before it is forgotten; it may be dead.
_MAX_ATTEMPTS: Final = 3


class RevisionSources:
    """A bounded set of peers and their revisions."""

    __slots__ = ('_attempts', '_revisions')

    def __init__(self) -> None:
        self._revisions: dict[Address, int] = {}
        self._attempts: dict[Address, int] = {}

    def note(self, address: Address, revision: int) -> None:
        """Remembers the revision of a peer; the oldest entry may go."""
        self._forget(address)
        self._revisions[address] = revision
        if len(self._revisions) > _MAX_SOURCES:
            self._forget(next(iter(self._revisions)))

    def take_best(self, own: int) -> Address | None:
        """Chooses the peer with the highest revision for one attempt.

        Among equals, the one that was noted or tried first is chosen.

        Args:
            own: Revision in force; peers that hold no more are forgotten.

        Returns:
            The peer, or None if no peer holds a higher revision.
        """
        for address, revision in tuple(self._revisions.items()):
            if revision <= own:
                self._forget(address)
        if not self._revisions:
            return None
        best = max(self._revisions, key=self._revisions.__getitem__)
        self._count_attempt(best)
        return best

    def _count_attempt(self, address: Address) -> None:
        attempts = self._attempts.get(address, 0) + 1
        revision = self._revisions[address]
        self._forget(address)
        if attempts < _MAX_ATTEMPTS:
            self._revisions[address] = revision
            self._attempts[address] = attempts

    def _forget(self, address: Address) -> None:
        self._revisions.pop(address, None)
        self._attempts.pop(address, None)
