"""Changes that wait to be sent along with other messages."""

from collections import OrderedDict

import msgspec

from anvilthread.membership.wire import Change, Record

Item = Change | Record


class _Entry:
    __slots__ = ('item', 'sends', 'size')

    def __init__(self, item: Item) -> None:
        self.item = item
        self.size = len(msgspec.msgpack.encode(item))
        self.sends = 0


class ChangeQueue:
    """The latest change of each member, new ones first.

    Args:
        capacity: Largest number of changes held; the one nearest to its
            retransmission limit gives way. Digests repair what is lost.
    """

    __slots__ = ('_capacity', '_entries')

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, item: Item) -> None:
        """Queues a change in place of an older one of the same member."""
        self._entries[item.address] = _Entry(item)
        self._entries.move_to_end(item.address, last=False)
        if len(self._entries) > self._capacity:
            self._entries.popitem()

    def take(self, size: int, limit: int) -> list[Item]:
        """Returns changes for one message.

        Args:
            size: Largest total size in bytes.
            limit: Number of times that each change is sent.
        """
        chosen: list[tuple[bytes, _Entry]] = []
        for address, entry in self._entries.items():
            size -= entry.size
            if size < 0:
                break
            chosen.append((address, entry))
        for address, entry in chosen:
            self._count(address, entry, limit)
        return [entry.item for _, entry in chosen]

    def _count(self, address: bytes, entry: _Entry, limit: int) -> None:
        entry.sends += 1
        if entry.sends < limit:
            self._entries.move_to_end(address)
        else:
            self._entries.pop(address)
