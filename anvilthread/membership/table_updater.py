"""Application of received changes to the member table."""

from absl import logging

from anvilthread.address import Address
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.local_health import LocalHealth
from anvilthread.membership.local_member import LocalMember
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.suspicions import Suspicions
from anvilthread.membership.wire import Change, Message, Record


class TableUpdater:
    """Merges changes into the table, by incarnation and state.

    Args:
        table: Member table of this node.
        local: Refutes wrong claims about this node.
        queue: Queue of changes to disseminate.
        suspicions: Current suspicions.
        health: Local health; degraded by suspicions of this node.
    """

    __slots__ = ('_health', '_local', '_queue', '_suspicions', '_table')

    def __init__(
        self,
        *,
        table: MemberTable,
        local: LocalMember,
        queue: ChangeQueue,
        suspicions: Suspicions,
        health: LocalHealth,
    ) -> None:
        self._table = table
        self._local = local
        self._queue = queue
        self._suspicions = suspicions
        self._health = health

    def apply_message(self, message: Message) -> bool:
        """Applies the changes piggybacked on a message and disseminates them.

        Returns:
            Whether any of them was new.
        """
        is_changed = False
        for record in message.records:
            is_changed |= self.apply_record(record, disseminate=True)
        for change in message.changes:
            is_changed |= self.apply_change(change, disseminate=True)
        return is_changed

    def apply_record(self, record: Record, *, disseminate: bool) -> bool:
        """Applies a whole record.

        Args:
            record: The record.
            disseminate: Whether to queue it for other nodes if it is new.

        Returns:
            Whether it was new.
        """
        member = record.member()
        if member.control_address == self._local.member.control_address:
            return self._refute(member.incarnation, member.state)
        known = self._table.get(member.control_address)
        if not self._table.put(member):
            return False
        if disseminate:
            # A newer record of a member in doubt is its refutation, and must
            # not spread more slowly than the suspicion.
            in_doubt = known is not None and known.state != MemberState.ALIVE
            self._queue.put(record, urgent=in_doubt or not member.takes_work)
        return True

    def apply_change(self, change: Change, *, disseminate: bool) -> bool:
        """Applies a new state; arguments and result as in `apply_record`."""
        address = Address.unpack(change.address)
        if address == self._local.member.control_address:
            return self._refute(change.incarnation, change.state)
        member = self._table.get(address)
        if member is None or not _is_applicable(change, member):
            return False
        if not self._merge(member, change):
            return False
        if disseminate:
            self._queue.put(change, urgent=True)
        return True

    def suspect(self, member: Member, now_ms: int) -> None:
        """Suspects a member that did not answer this node's own probe."""
        local_address = self._local.member.control_address
        change = suspect_change(member, local_address)
        self.apply_change(change, disseminate=True)
        suspicion = self._suspicions.get(member.control_address)
        if suspicion is not None:
            suspicion.record_failed_probe(now_ms)

    def declare_dead(self, member: Member) -> None:
        """Declares a suspected member dead."""
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
        self.apply_change(change, disseminate=True)

    def _merge(self, member: Member, change: Change) -> bool:
        changed = member.with_version(change.incarnation, change.state)
        is_changed = self._table.put(changed)
        if change.state != MemberState.SUSPECT:
            return is_changed
        reporter = Address.unpack(change.reporter)
        return self._suspicions.report(member, reporter)

    def _refute(self, incarnation: int, state: MemberState) -> bool:
        if not self._local.refute(incarnation, state):
            return False
        self._health.record_failure()
        logging.info(
            'event=claim_refuted claimed=%s incarnation=%d',
            state.name.lower(),
            self._local.member.incarnation,
        )
        return True


def suspect_change(member: Member, reporter: Address) -> Change:
    """Returns the change by which a reporter suspects a member."""
    return Change(
        address=member.control_address.pack(),
        incarnation=member.incarnation,
        state=MemberState.SUSPECT,
        reporter=reporter.pack(),
    )


def _is_applicable(change: Change, member: Member) -> bool:
    """Whether a change can be applied without the rest of the record."""
    if change.state >= MemberState.DEAD:
        return change.incarnation >= member.incarnation
    if change.incarnation != member.incarnation or not member.is_live:
        return False
    if change.state == MemberState.SUSPECT:
        return len(change.reporter) == Address.packed_size
    return True
