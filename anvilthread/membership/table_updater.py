"""Applies what peers say about members."""

from absl import logging

from anvilthread.address import Address
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.local_health import LocalHealth
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.own_member import OwnMember
from anvilthread.membership.suspicions import Suspicions
from anvilthread.membership.wire import Change, Message, Record


class TableUpdater:
    """Merges changes into the table, by incarnation and state.

    Args:
        table: The view of this node.
        own: Contradicts wrong claims about this node.
        queue: Takes the changes that other nodes have to learn.
        suspicions: Suspicions under way.
        health: Suffers from suspicions of this node.
    """

    __slots__ = ('_health', '_own', '_queue', '_suspicions', '_table')

    def __init__(
        self,
        *,
        table: MemberTable,
        own: OwnMember,
        queue: ChangeQueue,
        suspicions: Suspicions,
        health: LocalHealth,
    ) -> None:
        self._table = table
        self._own = own
        self._queue = queue
        self._suspicions = suspicions
        self._health = health

    def take_message(self, message: Message) -> bool:
        """Applies the changes that ride on a message and passes them on.

        Returns:
            Whether any of them was news.
        """
        news = False
        for record in message.records:
            news |= self.take_record(record, spread=True)
        for change in message.changes:
            news |= self.take_change(change, spread=True)
        return news

    def take_record(self, record: Record, *, spread: bool) -> bool:
        """Applies a whole record.

        Args:
            record: The record.
            spread: Whether to pass it on if it is news.

        Returns:
            Whether it was news.
        """
        member = record.member()
        if member.control_address == self._own.member.control_address:
            return self._refute(member.incarnation, member.state)
        known = self._table.get(member.control_address)
        if not self._table.put(member):
            return False
        if spread:
            # A record of a member in doubt is its refutation, and must not be
            # slower than the suspicion.
            in_doubt = known is not None and known.state != MemberState.ALIVE
            self._queue.put(record, urgent=in_doubt or not member.takes_work)
        return True

    def take_change(self, change: Change, *, spread: bool) -> bool:
        """Applies a new state; arguments and result as in `take_record`."""
        address = Address.unpack(change.address)
        if address == self._own.member.control_address:
            return self._refute(change.incarnation, change.state)
        member = self._table.get(address)
        if member is None or not _applies(change, member):
            return False
        if not self._apply(member, change):
            return False
        if spread:
            self._queue.put(change, urgent=True)
        return True

    def suspect(self, member: Member, now_ms: int) -> None:
        """Suspects a member that did not answer this node's own probe."""
        own_address = self._own.member.control_address
        change = suspicion_of(member, own_address)
        self.take_change(change, spread=True)
        suspicion = self._suspicions.get(member.control_address)
        if suspicion is not None:
            suspicion.probe_failed(now_ms)

    def declare_dead(self, member: Member) -> None:
        """Ends the wait for a suspected member."""
        logging.info(
            'event=member_dead address=%s site=%s incarnation=%d',
            member.control_address,
            member.site,
            member.incarnation,
        )
        change = Change(
            address=member.control_address.pack(),
            incarnation=member.incarnation,
            state=MemberState.DEAD,
        )
        self.take_change(change, spread=True)

    def _apply(self, member: Member, change: Change) -> bool:
        changed = member.with_version(change.incarnation, change.state)
        news = self._table.put(changed)
        if change.state != MemberState.SUSPECT:
            return news
        reporter = Address.unpack(change.reporter)
        return self._suspicions.report(member, reporter)

    def _refute(self, incarnation: int, state: MemberState) -> bool:
        if not self._own.refute(incarnation, state):
            return False
        self._health.fail()
        logging.info(
            'event=claim_refuted claimed=%s incarnation=%d',
            state.name.lower(),
            self._own.member.incarnation,
        )
        return True


def suspicion_of(member: Member, reporter: Address) -> Change:
    """Returns the change that says who suspects a member."""
    return Change(
        address=member.control_address.pack(),
        incarnation=member.incarnation,
        state=MemberState.SUSPECT,
        reporter=reporter.pack(),
    )


def _applies(change: Change, member: Member) -> bool:
    """Whether a change can be applied without the rest of the record."""
    if change.state >= MemberState.DEAD:
        return change.incarnation >= member.incarnation
    if change.incarnation != member.incarnation or not member.is_live:
        return False
    if change.state == MemberState.SUSPECT:
        return len(change.reporter) == Address.packed_size
    return True
