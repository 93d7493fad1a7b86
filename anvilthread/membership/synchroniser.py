"""Repair of differences between the tables of two nodes."""

from typing import Final

from anvilthread.address import Address
from anvilthread.membership.digest import FANOUT, differing
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import LIST_BYTES
from anvilthread.membership.sync_messages import (
    SyncBuckets,
    SyncGroups,
    SyncRecords,
    SyncRoot,
    SyncSummary,
)
from anvilthread.membership.wire import Change, Record

#: Groups that may differ between two nodes that are up to date, because of
#: changes that are still under way.
_SETTLED_GROUPS: Final = 4

#: Comparisons after which a node acts on a view that differs so little, and
#: on any view: a large table takes minutes to fetch.
_SETTLED_ROUNDS: Final = 4
_ROUNDS: Final = 16


class Synchroniser:
    """Compares digests with random members, one datagram at a time.

    A comparison narrows the difference down from the root to one of 64
    groups, to some of its 64 buckets, and to their members. Its cost does not
    depend on the number of members. Records learned in this way are not
    spread further, since a repair of many would displace fresh changes.

    Args:
        context: Shared parts of the node.
    """

    __slots__ = ('_context', '_is_complete', '_residue', '_round', '_rounds')

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._round = context.random.randrange(1, FANOUT)
        self._is_complete = False
        self._residue = 0
        self._rounds = 0

    @property
    def is_complete(self) -> bool:
        """Whether an exchange with a peer has ended since the last reset."""
        return self._is_complete

    @property
    def period_ms(self) -> int:
        """Time until the next comparison."""
        settings = self._context.settings
        if self._is_complete and self._residue <= _SETTLED_GROUPS:
            return settings.sync_period_ms
        return settings.catch_up_period_ms

    def reset(self) -> None:
        """Voids what was compared before; answers under way are ignored."""
        self._is_complete = False
        self._residue = 0
        self._rounds = 0
        self._round += 1

    def settle(self) -> None:
        """Records that there is no peer to compare with."""
        self._is_complete = True

    def start(self, peer: Address) -> None:
        """Compares tables with a peer."""
        self._round += 1
        root = self._context.table.digest.root
        message = SyncRoot(round=self._round, root=root)
        self._context.outbox.send_limited(peer, message)

    def on_groups(self, sender: Address, message: SyncGroups) -> None:
        """Chooses one of the groups that differ."""
        if message.round != self._round:
            return
        context = self._context
        digest = context.table.digest
        groups: list[int] = []
        if message.groups is not None:
            groups = differing(digest.groups, message.groups)
        self._residue = len(groups)
        if not groups:
            self._is_complete = True
            return
        group = context.random.choice(groups)
        reply = SyncBuckets(
            round=message.round, group=group, buckets=digest.buckets(group)
        )
        context.outbox.send_limited(sender, reply)

    def on_summary(self, sender: Address, message: SyncSummary) -> None:
        """Sends what the peer lacks and asks for what this node lacks."""
        if message.round != self._round:
            return
        context = self._context
        wanted = self._wanted(message.summaries)
        newer = self._newer(message)
        if wanted or newer:
            reply = SyncRecords(
                round=message.round,
                entries=context.outbox.records(newer, LIST_BYTES // 2),
                wanted=tuple(wanted[:FANOUT]),
            )
            context.outbox.send_limited(sender, reply)
        if not wanted:
            self._advance(sender)

    def on_records(self, sender: Address, message: SyncRecords) -> None:
        """Takes records, and gives those that the peer asks for."""
        context = self._context
        for record in message.entries:
            context.updater.take_record(record, spread=False)
        addresses = [Address.unpack(packed) for packed in message.wanted]
        known = [context.table.get(address) for address in addresses]
        found = [member for member in known if member is not None]
        entries = context.outbox.records(found, LIST_BYTES)
        if entries:
            reply = SyncRecords(round=message.round, entries=entries)
            context.outbox.send_limited(sender, reply)
        if message.round == self._round and not message.wanted:
            self._advance(sender)

    def _wanted(self, summaries: tuple[Change, ...]) -> list[bytes]:
        context = self._context
        wanted = []
        for change in summaries:
            context.updater.take_change(change, spread=False)
            member = context.table.get(Address.unpack(change.address))
            if not _knows(member, change):
                wanted.append(change.address)
        return wanted

    def _newer(self, message: SyncSummary) -> list[Member]:
        theirs = {change.address: change for change in message.summaries}
        newer: list[Member] = []
        table = self._context.table
        for bucket in message.listed:
            number = message.group * FANOUT + bucket
            addresses = table.digest.addresses(number)
            for member in filter(None, map(table.get, addresses)):
                change = theirs.get(member.control_address.pack())
                if _is_news(member, change):
                    newer.append(member)
        return newer

    def _advance(self, peer: Address) -> None:
        self._rounds += 1
        is_settled = self._residue <= _SETTLED_GROUPS
        needed = _SETTLED_ROUNDS if is_settled else _ROUNDS
        if self._residue <= 1 or self._rounds >= needed:
            self._is_complete = True
        if not self._is_complete:
            self.start(peer)


def _knows(member: Member | None, change: Change) -> bool:
    """Whether nothing more has to be learned about a listed member."""
    if member is None:
        return change.state >= MemberState.DEAD
    return (change.incarnation, change.state) <= member.version


def _is_news(member: Member, change: Change | None) -> bool:
    """Whether a peer that listed this about a member lacks something."""
    if change is None:
        return member.is_live
    settled = Record.of(member)
    return (settled.incarnation, settled.state) > (
        change.incarnation,
        change.state,
    )
