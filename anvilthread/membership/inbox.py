"""Dispatch of received membership messages."""

from collections.abc import Callable
from typing import Any

from anvilthread.address import Address
from anvilthread.membership.fetch_messages import FetchReply, FetchRequest
from anvilthread.membership.fetcher import Fetcher
from anvilthread.membership.joiner import Joiner
from anvilthread.membership.messages import decode
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.probe_messages import (
    Ack,
    IndirectAck,
    IndirectPing,
    Ping,
)
from anvilthread.membership.responder import Responder
from anvilthread.membership.sync_messages import (
    Join,
    JoinReply,
    SyncBuckets,
    SyncGroups,
    SyncRecords,
    SyncRoot,
    SyncSummary,
)
from anvilthread.membership.sync_responder import SyncResponder
from anvilthread.membership.synchroniser import Synchroniser
from anvilthread.membership.wire import Message
from anvilthread.transport import Received

_Handler = Callable[[Address, Any], None]


class Inbox:
    """Applies piggybacked changes and dispatches messages to handlers.

    Args:
        context: Shared components of the node.
        pinger: Handles answers to probes.
        responder: Handles probes.
        sync_responder: Handles comparisons that peers have started.
        joiner: Handles joins.
        synchroniser: Handles answers in comparisons that this node started.
        fetcher: Handles requests for parts of the table, and their answers.
    """

    __slots__ = ('_context', '_handlers', '_malformed')

    def __init__(
        self,
        *,
        context: NodeContext,
        pinger: Pinger,
        responder: Responder,
        sync_responder: SyncResponder,
        joiner: Joiner,
        synchroniser: Synchroniser,
        fetcher: Fetcher,
    ) -> None:
        self._context = context
        self._malformed = 0
        self._handlers: dict[type[Message], _Handler] = {
            Ping: responder.on_ping,
            Ack: pinger.on_ack,
            IndirectPing: responder.on_indirect_ping,
            IndirectAck: pinger.on_ack,
            Join: joiner.on_join,
            JoinReply: joiner.on_reply,
            SyncRoot: sync_responder.on_root,
            SyncGroups: synchroniser.on_groups,
            SyncBuckets: sync_responder.on_buckets,
            SyncSummary: synchroniser.on_summary,
            SyncRecords: synchroniser.on_records,
            FetchRequest: fetcher.on_fetch_request,
            FetchReply: fetcher.on_fetch_reply,
        }

    @property
    def malformed(self) -> int:
        """Number of messages dropped because they could not be decoded."""
        return self._malformed

    def handle(self, received: Received) -> None:
        """Handles one message."""
        message = decode(received.payload)
        if message is None:
            self._malformed += 1
            return
        has_updates = self._context.updater.apply_message(message)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(received.sender, message)
        self._update_sender(received.sender, message)
        if has_updates:
            self._context.outbox.gossip()

    def _update_sender(self, sender: Address, message: Message) -> None:
        """Updates the revision of a sender, or requests its newer record."""
        table = self._context.table
        member = table.get(sender)
        if member is None or member.incarnation < message.incarnation:
            request = SyncRecords(round=0, entries=(), wanted=(sender.pack(),))
            self._context.outbox.send_limited(sender, request)
        elif member.incarnation == message.incarnation:
            if message.revision > member.configuration_revision:
                table.put(member.with_revision(message.revision))
