"""Changes that wait to be sent along with other messages."""

from collections import OrderedDict
from itertools import chain

import msgspec

from anvilthread.membership.wire import Change, Record

Item = Change | Record


class _Entry:
    __slots__ = ('item', 'sends', 'size', 'urgent')

    def __init__(self, item: Item, *, urgent: bool) -> None:
        self.item = item
        self.urgent = urgent
        self.size = len(msgspec.msgpack.encode(item))
        self.sends = 0


_Entries = OrderedDict[bytes, _Entry]


class ChangeQueue:
    """The latest change of each member.

    Urgent changes are sent before others, so that a wave of joins does not
    hold up the news of a death, and new ones before those sent already.

    Args:
        capacity: Largest number of urgent changes held, and of others. The
            one nearest to its limit gives way; digests repair what is lost.
    """

    __slots__ = ('_capacity', '_ordinary', '_urgent')

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._urgent: _Entries = OrderedDict()
        self._ordinary: _Entries = OrderedDict()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    def put(self, item: Item, *, urgent: bool) -> None:
        """Queues a change in place of an older one of the same member."""
        self._urgent.pop(item.address, None)
        self._ordinary.pop(item.address, None)
        entries = self._urgent if urgent else self._ordinary
        entries[item.address] = _Entry(item, urgent=urgent)
        entries.move_to_end(item.address, last=False)
        if len(entries) > self._capacity:
            entries.popitem()

    def take(self, size: int, limit: int) -> list[Item]:
        """Returns changes for one message.

        Args:
            size: Largest total size in bytes.
            limit: Number of times that each change is sent.
        """
        chosen: list[_Entry] = []
        waiting = chain(self._urgent.values(), self._ordinary.values())
        for entry in waiting:
            size -= entry.size
            if size < 0:
                break
            chosen.append(entry)
        for each in chosen:
            self._count(each, limit)
        return [each.item for each in chosen]

    def _count(self, entry: _Entry, limit: int) -> None:
        entries = self._urgent if entry.urgent else self._ordinary
        entry.sends += 1
        if entry.sends < limit:
            entries.move_to_end(entry.item.address)
        else:
            entries.pop(entry.item.address)
