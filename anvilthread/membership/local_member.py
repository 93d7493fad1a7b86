"""The member that describes this node."""

from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.wire import Record

_MS_PER_SECOND: Final = 1000


class LocalMember:
    """Announces the local member and refutes wrong claims about it.

    Args:
        clock: Source of incarnations, which start from wall-clock seconds
            because incarnations are not stored on disk.
        member: Initial description; its incarnation is raised to the clock's.
        table: Member table, which includes the local member.
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
        self.raise_incarnation(member.incarnation)

    @property
    def member(self) -> Member:
        """The current description."""
        return self._member

    @property
    def has_left(self) -> bool:
        """Whether a planned stop was announced."""
        return self._member.state == MemberState.LEFT

    def raise_incarnation(self, incarnation: int) -> None:
        """Raises the incarnation to at least the given one and announces it."""
        wall_s = self._clock.wall_ms() // _MS_PER_SECOND
        latest = max(incarnation, wall_s)
        self._announce(self._member.with_version(latest, self._member.state))

    def set_state(self, state: MemberState) -> None:
        """Announces a higher state of this node."""
        if state > self._member.state:
            self._announce(
                self._member.with_version(self._member.incarnation, state)
            )

    def describe(self, *, services: tuple[int, ...], slots: int) -> None:
        """Announces changed services and slots under a new incarnation.

        Unchanged services and slots are not announced: otherwise every change
        of the configuration would disseminate a record of every agent.
        """
        known = (self._member.services, self._member.slots)
        if known == (services, slots):
            return
        self._member = msgspec.structs.replace(
            self._member, services=services, slots=slots
        )
        self.raise_incarnation(self._member.incarnation + 1)

    def set_revision(self, revision: int) -> None:
        """Sets the revision, which every message header carries."""
        self._member = self._member.with_revision(revision)
        self._table.put(self._member)

    def refute(self, incarnation: int, state: MemberState) -> bool:
        """Raises the incarnation if a claim contradicts this node.

        Returns:
            Whether the claim was wrong.
        """
        local = self._member
        if self.has_left or incarnation < local.incarnation:
            return False
        expected = state in {MemberState.ALIVE, local.state}
        if incarnation == local.incarnation and expected:
            return False
        self.raise_incarnation(incarnation + 1)
        return True

    def _announce(self, member: Member) -> None:
        self._member = member
        self._table.put(member)
        self._queue.put(Record.of(member), urgent=True)
