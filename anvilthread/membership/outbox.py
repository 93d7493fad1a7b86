"""Sending of membership messages."""

import math
from random import Random
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.change_queue import ChangeQueue, QueuedChange
from anvilthread.membership.local_member import LocalMember
from anvilthread.membership.member import Member
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.probe_messages import Gossip
from anvilthread.membership.token_bucket import TokenBucket
from anvilthread.membership.wire import (
    Change,
    Message,
    Record,
)
from anvilthread.transport import Transport
from anvilthread.transport.transport import MAX_DATAGRAM_BYTES

#: Space reserved for the authentication tag that the transport adds.
_TAG_BYTES: Final = 16

#: Largest encoded message.
MAX_MESSAGE_BYTES: Final = MAX_DATAGRAM_BYTES - _TAG_BYTES

#: Space for the lists of a message, beside its other fields.
MAX_LIST_BYTES: Final = MAX_MESSAGE_BYTES - 128

#: Growth of the two array headers when changes are added to a message.
_ARRAY_HEADER_GROWTH_BYTES: Final = 4


class Outbox:
    """Sends messages with the header and piggybacked changes.

    Args:
        clock: Clock of the byte limits.
        random: Selects the receivers of gossip.
        transport: Transport of the messages.
        settings: Byte limits and number of retransmissions.
        table: Source of receivers.
        local: Source of the header.
        queue: Queued changes.
    """

    __slots__ = (
        '_changes_budget',
        '_encoder',
        '_local',
        '_queue',
        '_random',
        '_settings',
        '_sync_budget',
        '_table',
        '_transport',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        transport: Transport,
        settings: MembershipSettings,
        table: MemberTable,
        local: LocalMember,
        queue: ChangeQueue,
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._random = random
        self._transport = transport
        self._settings = settings
        self._table = table
        self._local = local
        self._queue = queue
        self._changes_budget = TokenBucket(
            clock=clock,
            per_second=settings.change_bytes_per_second,
            burst=settings.burst_bytes,
        )
        self._sync_budget = TokenBucket(
            clock=clock,
            per_second=settings.sync_bytes_per_second,
            burst=settings.burst_bytes,
        )

    def send(
        self,
        address: Address,
        message: Message,
        *,
        required: tuple[QueuedChange, ...] = (),
    ) -> None:
        """Sends a message with as many queued changes as it can carry.

        Args:
            address: Control address of the receiver.
            message: A message without a header.
            required: Changes that this message must carry.
        """
        message = self._with_header(message, required)
        encoded = self._encoder.encode(message)
        if self._queue:
            room_bytes = (
                MAX_MESSAGE_BYTES - len(encoded) - _ARRAY_HEADER_GROWTH_BYTES
            )
            queued = self._next_changes(room_bytes)
            message = _with_changes(message, queued)
            encoded = self._encoder.encode(message)
        self._transport.send(address, encoded)

    def send_limited(self, address: Address, message: Message) -> bool:
        """Sends a message within the byte limit of repairs, or drops it."""
        message = self._with_header(message, ())
        encoded = self._encoder.encode(message)
        if not self._sync_budget.take(len(encoded)):
            return False
        self._transport.send(address, encoded)
        return True

    def gossip(self) -> None:
        """Sends queued changes to a few random members."""
        fanout = self._settings.change_fanout
        for address in self._table.index.live.sample(self._random, fanout):
            if self._queue and address != self._transport.address:
                self._send_gossip(address)

    def encoded_size(self, change: QueuedChange) -> int:
        """Returns the encoded size in bytes of a change or record."""
        return len(self._encoder.encode(change))

    def records_size(self, members: list[Member]) -> int:
        """Returns the encoded size in bytes of the records of members."""
        return sum(self.encoded_size(Record.of(member)) for member in members)

    def fitting_records(
        self, members: list[Member], room_bytes: int
    ) -> tuple[Record, ...]:
        """Returns records, in order, as long as they fit into a size."""
        fitting = []
        for record in map(Record.of, members):
            room_bytes -= self.encoded_size(record)
            if room_bytes < 0:
                break
            fitting.append(record)
        return tuple(fitting)

    def _send_gossip(self, address: Address) -> None:
        if self._changes_budget.available > MAX_MESSAGE_BYTES:
            self.send(address, Gossip())

    def _with_header(
        self, message: Message, required: tuple[QueuedChange, ...]
    ) -> Message:
        local = self._local.member
        headed = msgspec.structs.replace(
            message,
            incarnation=local.incarnation,
            revision=local.configuration_revision,
        )
        return _with_changes(headed, list(required)) if required else headed

    def _next_changes(self, room_bytes: int) -> list[QueuedChange]:
        room_bytes = min(room_bytes, self._changes_budget.available)
        members = len(self._table.index.live) + 1
        factor = self._settings.retransmission_factor
        max_sends = factor * math.ceil(math.log2(members + 1))
        taken = self._queue.next_batch(room_bytes, max_sends)
        self._changes_budget.take(
            sum(self.encoded_size(change) for change in taken)
        )
        return taken


def _with_changes(message: Message, added: list[QueuedChange]) -> Message:
    changes = tuple(change for change in added if isinstance(change, Change))
    records = tuple(change for change in added if isinstance(change, Record))
    return msgspec.structs.replace(
        message,
        changes=message.changes + changes,
        records=message.records + records,
    )
