"""The member that this node describes itself as."""

from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.wire import Record

_MS_PER_SECOND: Final = 1000


class OwnMember:
    """Announces the own member and contradicts wrong claims about it.

    Args:
        clock: Source of incarnations, which start from wall-clock seconds
            because nothing is kept on disk.
        member: First description; its incarnation is raised to the clock's.
        table: Table that holds the own member too.
        queue: Queue of announcements.
    """

    __slots__ = ('_clock', '_member', '_queue', '_table')

    def __init__(
        self,
        *,
        clock: Clock,
        member: Member,
        table: MemberTable,
        queue: ChangeQueue,
    ) -> None:
        self._clock = clock
        self._member = member
        self._table = table
        self._queue = queue
        self.renew(member.incarnation)

    @property
    def member(self) -> Member:
        """The current description."""
        return self._member

    @property
    def has_left(self) -> bool:
        """Whether a planned stop was announced."""
        return self._member.state == MemberState.LEFT

    def renew(self, incarnation: int) -> None:
        """Takes a new incarnation, at least the given one."""
        wall = self._clock.wall_ms() // _MS_PER_SECOND
        latest = max(incarnation, wall)
        self._announce(self._member.with_version(latest, self._member.state))

    def enter(self, state: MemberState) -> None:
        """Announces a state that this node has chosen itself."""
        if state > self._member.state:
            self._announce(
                self._member.with_version(self._member.incarnation, state)
            )

    def describe(self, *, services: tuple[int, ...], slots: int) -> None:
        """Announces other services and slots, under a new incarnation.

        The same services and slots are not announced again: every change of
        the configuration would otherwise spread a record of every agent.
        """
        known = (self._member.services, self._member.slots)
        if known == (services, slots):
            return
        self._member = msgspec.structs.replace(
            self._member, services=services, slots=slots
        )
        self.renew(self._member.incarnation + 1)

    def set_revision(self, revision: int) -> None:
        """Changes the revision, which rides in every message's header."""
        self._member = self._member.with_revision(revision)
        self._table.put(self._member)

    def refute(self, incarnation: int, state: MemberState) -> bool:
        """Takes a higher incarnation if a claim contradicts this node.

        Returns:
            Whether the claim was wrong.
        """
        own = self._member
        if self.has_left or incarnation < own.incarnation:
            return False
        expected = state in {MemberState.ALIVE, own.state}
        if incarnation == own.incarnation and expected:
            return False
        self.renew(incarnation + 1)
        return True

    def _announce(self, member: Member) -> None:
        self._member = member
        self._table.put(member)
        self._queue.put(Record.of(member), urgent=True)
