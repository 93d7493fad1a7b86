"""Sending of membership messages."""

import math
from random import Random
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.change_queue import ChangeQueue, Item
from anvilthread.membership.member import Member
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.own_member import OwnMember
from anvilthread.membership.probe_messages import Gossip
from anvilthread.membership.token_bucket import TokenBucket
from anvilthread.membership.wire import (
    Change,
    Message,
    Record,
)
from anvilthread.transport import Transport
from anvilthread.transport.transport import MAX_DATAGRAM_BYTES

#: Room for the tag that the transport adds.
_TAG_BYTES: Final = 16

#: Largest encoded message.
MAX_MESSAGE_BYTES: Final = MAX_DATAGRAM_BYTES - _TAG_BYTES

#: Room for the lists of a message besides its other fields.
LIST_BYTES: Final = MAX_MESSAGE_BYTES - 128

#: Growth of the two array headers when changes are added.
_ARRAY_BYTES: Final = 4


class Outbox:
    """Adds the header and waiting changes to messages and sends them.

    Args:
        clock: Clock of the byte limits.
        random: Choice of the receivers of changes.
        transport: Where messages are sent.
        settings: Byte limits and retransmissions.
        table: Source of receivers.
        own: Source of the header.
        queue: Waiting changes.
    """

    __slots__ = (
        '_changes_budget',
        '_encoder',
        '_own',
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
        own: OwnMember,
        queue: ChangeQueue,
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._random = random
        self._transport = transport
        self._settings = settings
        self._table = table
        self._own = own
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
        first: tuple[Item, ...] = (),
    ) -> None:
        """Sends a message with as many waiting changes as may ride on it.

        Args:
            address: Control address of the receiver.
            message: A message without a header.
            first: Changes that the receiver has to learn with this message.
        """
        message = self._with_header(message, first)
        encoded = self._encoder.encode(message)
        if self._queue:
            room = MAX_MESSAGE_BYTES - len(encoded) - _ARRAY_BYTES
            waiting = self._take(room)
            message = _with_items(message, waiting)
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

    def spread(self) -> None:
        """Sends waiting changes to a few random members."""
        fanout = self._settings.change_fanout
        for address in self._table.index.live.sample(self._random, fanout):
            if self._queue and address != self._transport.address:
                self._send_waiting(address)

    def size(self, item: Item) -> int:
        """Returns the size in bytes of a change or record."""
        return len(self._encoder.encode(item))

    def records_size(self, members: list[Member]) -> int:
        """Returns the size in bytes of the records of some members."""
        return sum(self.size(Record.of(member)) for member in members)

    def records(self, members: list[Member], room: int) -> tuple[Record, ...]:
        """Returns the records that fit into a number of bytes."""
        fitting = []
        for record in map(Record.of, members):
            room -= self.size(record)
            if room < 0:
                break
            fitting.append(record)
        return tuple(fitting)

    def _send_waiting(self, address: Address) -> None:
        if self._changes_budget.available > MAX_MESSAGE_BYTES:
            self.send(address, Gossip())

    def _with_header(
        self, message: Message, first: tuple[Item, ...]
    ) -> Message:
        own = self._own.member
        headed = msgspec.structs.replace(
            message,
            incarnation=own.incarnation,
            revision=own.configuration_revision,
        )
        return _with_items(headed, list(first)) if first else headed

    def _take(self, room: int) -> list[Item]:
        room = min(room, self._changes_budget.available)
        members = len(self._table.index.live) + 1
        factor = self._settings.retransmission_factor
        limit = factor * math.ceil(math.log2(members + 1))
        taken = self._queue.take(room, limit)
        self._changes_budget.take(sum(self.size(item) for item in taken))
        return taken


def _with_items(message: Message, added: list[Item]) -> Message:
    changes = tuple(item for item in added if isinstance(item, Change))
    records = tuple(item for item in added if isinstance(item, Record))
    return msgspec.structs.replace(
        message,
        changes=message.changes + changes,
        records=message.records + records,
    )
