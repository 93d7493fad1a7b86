"""Hash ring of members, in the same order on all nodes."""

import hashlib
from bisect import bisect_left, bisect_right

from anvilthread.address import Address

_KEY_BYTES = 8


class MemberRing:
    """Addresses in the order of their hashes.

    The order is unrelated to the addresses, so that members that fail
    together, such as those of one rack, are rarely neighbours.
    """

    __slots__ = ('_addresses', '_keys')

    def __init__(self) -> None:
        self._keys: list[int] = []
        self._addresses: dict[int, Address] = {}

    def add(self, address: Address) -> None:
        """Adds an address; one that is present stays as it is."""
        key = _ring_key(address)
        if key not in self._addresses:
            self._keys.insert(bisect_left(self._keys, key), key)
            self._addresses[key] = address

    def discard(self, address: Address) -> None:
        """Removes an address if it is present."""
        key = _ring_key(address)
        if self._addresses.pop(key, None) is not None:
            self._keys.pop(bisect_left(self._keys, key))

    def successor(self, address: Address) -> Address | None:
        """Returns the next address, or None if there is none."""
        if not self._keys:
            return None
        position = bisect_right(self._keys, _ring_key(address))
        return self._addresses[self._keys[position % len(self._keys)]]


def _ring_key(address: Address) -> int:
    hashed = hashlib.blake2b(address.pack(), digest_size=_KEY_BYTES)
    return int.from_bytes(hashed.digest())
