"""Questions about many flows, collected for each agent."""

from collections.abc import Iterator
from typing import Final

from anvilthread.flows.flow_key import FlowKey

#: Flows per message, of 14 bytes each, so that it fits into a datagram.
_MAX_KEYS: Final = 80


class LocateBatch:
    """The flows to ask each agent about in one message."""

    __slots__ = ('_keys',)

    def __init__(self) -> None:
        self._keys: dict[str, list[bytes]] = {}

    def add(self, host: str, key: FlowKey) -> bool:
        """Adds a flow; returns whether the message had room for it."""
        keys = self._keys.setdefault(host, [])
        if len(keys) >= _MAX_KEYS:
            return False
        keys.append(key)
        return True

    def items(self) -> Iterator[tuple[str, tuple[bytes, ...]]]:
        """Iterates over the agents and their flows."""
        for host, keys in self._keys.items():
            yield host, tuple(keys)
