"""Peers that are known to hold a higher revision."""

from typing import Final

from anvilthread.address import Address

_MAX_SOURCES: Final = 32
#: Fetch attempts after which a peer is removed, since it may be dead.
_MAX_ATTEMPTS: Final = 3


class RevisionSources:
    """A bounded set of peers and their revisions."""

    __slots__ = ('_attempts', '_revisions')

    def __init__(self) -> None:
        self._revisions: dict[Address, int] = {}
        self._attempts: dict[Address, int] = {}

    def add(self, address: Address, revision: int) -> None:
        """Adds the revision of a peer; removes the oldest entry if full."""
        self._remove(address)
        self._revisions[address] = revision
        if len(self._revisions) > _MAX_SOURCES:
            self._remove(next(iter(self._revisions)))

    def next_source(self, local_revision: int) -> Address | None:
        """Returns the peer with the highest revision, and counts an attempt.

        Among equals, the peer that was added or tried first is returned.

        Args:
            local_revision: Revision in force; peers without a higher one are
                removed.

        Returns:
            The peer, or None if no peer holds a higher revision.
        """
        for address, revision in tuple(self._revisions.items()):
            if revision <= local_revision:
                self._remove(address)
        if not self._revisions:
            return None
        best = max(self._revisions, key=self._revisions.__getitem__)
        self._count_attempt(best)
        return best

    def _count_attempt(self, address: Address) -> None:
        attempts = self._attempts.get(address, 0) + 1
        revision = self._revisions[address]
        self._remove(address)
        if attempts < _MAX_ATTEMPTS:
            self._revisions[address] = revision
            self._attempts[address] = attempts

    def _remove(self, address: Address) -> None:
        self._revisions.pop(address, None)
        self._attempts.pop(address, None)
