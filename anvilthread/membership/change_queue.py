"""Queue of changes that are piggybacked on other messages."""

from collections import OrderedDict
from itertools import chain

import msgspec

from anvilthread.membership.wire import Change, Record

QueuedChange = Change | Record


class _Entry:
    __slots__ = ('change', 'sends', 'size_bytes', 'urgent')

    def __init__(self, change: QueuedChange, *, urgent: bool) -> None:
        self.change = change
        self.urgent = urgent
        self.size_bytes = len(msgspec.msgpack.encode(change))
        self.sends = 0


_Entries = OrderedDict[bytes, _Entry]


class ChangeQueue:
    """The latest change of each member.

    Urgent changes are sent before others, so that a burst of joins does not
    delay the announcement of a death, and new ones before those already sent.

    Args:
        capacity: Largest number of urgent changes held, and of others. The
            change nearest to its send limit is evicted; digest comparisons
            repair the loss.
    """

    __slots__ = ('_capacity', '_ordinary', '_urgent')

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._urgent: _Entries = OrderedDict()
        self._ordinary: _Entries = OrderedDict()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._ordinary)

    def put(self, change: QueuedChange, *, urgent: bool) -> None:
        """Queues a change and replaces an older one of the same member."""
        self._urgent.pop(change.address, None)
        self._ordinary.pop(change.address, None)
        entries = self._urgent if urgent else self._ordinary
        entries[change.address] = _Entry(change, urgent=urgent)
        entries.move_to_end(change.address, last=False)
        if len(entries) > self._capacity:
            entries.popitem()

    def next_batch(self, size_bytes: int, max_sends: int) -> list[QueuedChange]:
        """Returns the changes for one message and counts them as sent.

        Args:
            size_bytes: Largest total size.
            max_sends: Number of times that each change is sent.
        """
        chosen: list[_Entry] = []
        queued = chain(self._urgent.values(), self._ordinary.values())
        for entry in queued:
            size_bytes -= entry.size_bytes
            if size_bytes < 0:
                break
            chosen.append(entry)
        for each in chosen:
            self._count_send(each, max_sends)
        return [each.change for each in chosen]

    def _count_send(self, entry: _Entry, max_sends: int) -> None:
        entries = self._urgent if entry.urgent else self._ordinary
        entry.sends += 1
        if entry.sends < max_sends:
            entries.move_to_end(entry.change.address)
        else:
            entries.pop(entry.change.address)
