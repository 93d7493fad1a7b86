"""A set of addresses with uniform random choice."""

from random import Random

from anvilthread.address import Address


class MemberPool:
    """Addresses with a random choice in constant time."""

    __slots__ = ('_addresses', '_positions')

    def __init__(self) -> None:
        self._addresses: list[Address] = []
        self._positions: dict[Address, int] = {}

    def __len__(self) -> int:
        return len(self._addresses)

    def __contains__(self, address: Address) -> bool:
        return address in self._positions

    @property
    def addresses(self) -> list[Address]:
        """A copy of the addresses."""
        return self._addresses.copy()

    def add(self, address: Address) -> None:
        """Adds an address; one that is present stays as it is."""
        if address not in self._positions:
            self._positions[address] = len(self._addresses)
            self._addresses.append(address)

    def discard(self, address: Address) -> None:
        """Removes an address if it is present."""
        position = self._positions.pop(address, None)
        if position is None:
            return
        last = self._addresses.pop()
        if position < len(self._addresses):
            self._addresses[position] = last
            self._positions[last] = position

    def draw(self, random: Random) -> Address | None:
        """Returns a random address, or None if there is none."""
        if not self._addresses:
            return None
        return self._addresses[int(random.random() * len(self._addresses))]

    def sample(self, random: Random, count: int) -> list[Address]:
        """Returns up to ``count`` different random addresses."""
        return random.sample(self._addresses, min(count, len(self)))
