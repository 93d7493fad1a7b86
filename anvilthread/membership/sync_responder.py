"""Answers to comparisons that peers start."""

from anvilthread.address import Address
from anvilthread.membership.digest import FANOUT, differing_positions
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.outbox import MAX_LIST_BYTES
from anvilthread.membership.sync_messages import (
    SyncBuckets,
    SyncGroups,
    SyncRoot,
    SyncSummary,
)
from anvilthread.membership.wire import Change


class SyncResponder:
    """Reports the buckets in which the tables of a peer and this node differ.

    Args:
        context: Shared components of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def on_root(self, sender: Address, message: SyncRoot) -> None:
        """Returns the digests of the groups if the roots differ."""
        digest = self._context.table.digest
        groups = None if message.root == digest.root else digest.groups
        reply = SyncGroups(round=message.round, groups=groups)
        self._context.outbox.send_limited(sender, reply)

    def on_buckets(self, sender: Address, message: SyncBuckets) -> None:
        """Lists the members of as many differing buckets as fit."""
        context = self._context
        buckets = differing_positions(
            context.table.digest.buckets(message.group), message.buckets
        )
        context.random.shuffle(buckets)
        room_bytes = MAX_LIST_BYTES
        listed: list[int] = []
        summaries: list[Change] = []
        for bucket in buckets:
            changes = self._changes(message.group, bucket)
            room_bytes -= sum(
                context.outbox.encoded_size(change) for change in changes
            )
            if room_bytes < 0:
                break
            listed.append(bucket)
            summaries.extend(changes)
        reply = SyncSummary(
            round=message.round,
            group=message.group,
            listed=tuple(listed),
            summaries=tuple(summaries),
        )
        context.outbox.send_limited(sender, reply)

    def _changes(self, group: int, bucket: int) -> list[Change]:
        table = self._context.table
        addresses = table.digest.addresses(group * FANOUT + bucket)
        members = filter(None, map(table.get, addresses))
        return [Change.of(member) for member in members]
