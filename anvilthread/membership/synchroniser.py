"""Comparison and repair of the tables of two nodes (anti-entropy)."""

from typing import Final

from anvilthread.address import Address
from anvilthread.membership.digest import FANOUT, differing_positions
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import MAX_LIST_BYTES
from anvilthread.membership.sync_messages import (
    SyncBuckets,
    SyncGroups,
    SyncRecords,
    SyncRoot,
    SyncSummary,
)
from anvilthread.membership.wire import Change, Record

#: Number of groups that may differ between two up-to-date nodes because of
#: changes in transit.
_SMALL_DIFFERENCE_GROUPS: Final = 4

#: Comparisons after which the table counts as complete, with at most that many
#: differing groups and with any number: a large table takes minutes to fetch.
_SMALL_DIFFERENCE_ROUNDS: Final = 4
_MAX_ROUNDS: Final = 16


class Synchroniser:
    """Compares digests with random members, one datagram at a time.

    A comparison narrows the difference down from the root to one of 64
    groups, to some of its 64 buckets, and to their members. Its cost does not
    depend on the number of members. Records received in this way are not
    disseminated, since a large repair would displace recent changes.

    Args:
        context: Shared components of the node.
    """

    __slots__ = (
        '_context',
        '_differing_groups',
        '_is_complete',
        '_round_count',
        '_round_number',
    )

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._round_number = context.random.randrange(1, FANOUT)
        self._is_complete = False
        self._differing_groups = 0
        self._round_count = 0

    @property
    def is_complete(self) -> bool:
        """Whether a comparison has completed since the last reset."""
        return self._is_complete

    @property
    def period_ms(self) -> int:
        """Time until the next comparison."""
        settings = self._context.settings
        if (
            self._is_complete
            and self._differing_groups <= _SMALL_DIFFERENCE_GROUPS
        ):
            return settings.sync_period_ms
        return settings.catch_up_period_ms

    def reset(self) -> None:
        """Discards earlier comparisons; their pending answers are ignored."""
        self._is_complete = False
        self._differing_groups = 0
        self._round_count = 0
        self._round_number += 1

    def complete_without_peer(self) -> None:
        """Records that there is no peer to compare with."""
        self._is_complete = True

    def start(self, peer: Address) -> None:
        """Starts a comparison of the tables with a peer."""
        self._round_number += 1
        root = self._context.table.digest.root
        message = SyncRoot(round=self._round_number, root=root)
        self._context.outbox.send_limited(peer, message)

    def on_groups(self, sender: Address, message: SyncGroups) -> None:
        """Continues the comparison with one of the groups that differ."""
        if message.round != self._round_number:
            return
        context = self._context
        digest = context.table.digest
        groups: list[int] = []
        if message.groups is not None:
            groups = differing_positions(digest.groups, message.groups)
        self._differing_groups = len(groups)
        if not groups:
            self._is_complete = True
            return
        group = context.random.choice(groups)
        reply = SyncBuckets(
            round=message.round, group=group, buckets=digest.buckets(group)
        )
        context.outbox.send_limited(sender, reply)

    def on_summary(self, sender: Address, message: SyncSummary) -> None:
        """Sends newer records and requests those that this node lacks."""
        if message.round != self._round_number:
            return
        context = self._context
        wanted = self._unknown_addresses(message.summaries)
        newer = self._newer_members(message)
        if wanted or newer:
            reply = SyncRecords(
                round=message.round,
                entries=context.outbox.fitting_records(
                    newer, MAX_LIST_BYTES // 2
                ),
                wanted=tuple(wanted[:FANOUT]),
            )
            context.outbox.send_limited(sender, reply)
        if not wanted:
            self._advance(sender)

    def on_records(self, sender: Address, message: SyncRecords) -> None:
        """Applies records and sends those that the peer requests."""
        context = self._context
        for record in message.entries:
            context.updater.apply_record(record, disseminate=False)
        addresses = [Address.unpack(packed) for packed in message.wanted]
        known = [context.table.get(address) for address in addresses]
        found = [member for member in known if member is not None]
        entries = context.outbox.fitting_records(found, MAX_LIST_BYTES)
        if entries:
            reply = SyncRecords(round=message.round, entries=entries)
            context.outbox.send_limited(sender, reply)
        if message.round == self._round_number and not message.wanted:
            self._advance(sender)

    def _unknown_addresses(self, summaries: tuple[Change, ...]) -> list[bytes]:
        context = self._context
        wanted = []
        for change in summaries:
            context.updater.apply_change(change, disseminate=False)
            member = context.table.get(Address.unpack(change.address))
            if not _is_known(member, change):
                wanted.append(change.address)
        return wanted

    def _newer_members(self, message: SyncSummary) -> list[Member]:
        theirs = {change.address: change for change in message.summaries}
        newer: list[Member] = []
        table = self._context.table
        for bucket in message.listed:
            number = message.group * FANOUT + bucket
            addresses = table.digest.addresses(number)
            for member in filter(None, map(table.get, addresses)):
                change = theirs.get(member.control_address.pack())
                if _is_newer(member, change):
                    newer.append(member)
        return newer

    def _advance(self, peer: Address) -> None:
        self._round_count += 1
        is_small = self._differing_groups <= _SMALL_DIFFERENCE_GROUPS
        needed = _SMALL_DIFFERENCE_ROUNDS if is_small else _MAX_ROUNDS
        if self._differing_groups <= 1 or self._round_count >= needed:
            self._is_complete = True
        if not self._is_complete:
            self.start(peer)


def _is_known(member: Member | None, change: Change) -> bool:
    """Whether the record of a listed member need not be requested."""
    if member is None:
        return change.state >= MemberState.DEAD
    return (change.incarnation, change.state) <= member.version


def _is_newer(member: Member, change: Change | None) -> bool:
    """Whether a member is newer than the change that a peer has listed."""
    if change is None:
        return member.is_live
    record = Record.of(member)
    return (record.incarnation, record.state) > (
        change.incarnation,
        change.state,
    )
