"""The numbered keys of one kind."""

from collections.abc import Mapping
from typing import Generic, TypeVar

KeyT = TypeVar('KeyT')


class KeyRing(Generic[KeyT]):
    """Keys by number, one of which is active.

    The active key is used for new values; the others are accepted during a
    rotation.

    Args:
        keys: Keys by number.
        active: Number of the active key, which must be one of ``keys``.
    """

    __slots__ = ('_active', '_keys')

    def __init__(self, *, keys: Mapping[int, KeyT], active: int) -> None:
        self._keys = dict(keys)
        self._active = active

    @property
    def keys(self) -> dict[int, KeyT]:
        """Keys by number."""
        return dict(self._keys)

    @property
    def active(self) -> int:
        """Number of the active key."""
        return self._active

    @property
    def current(self) -> KeyT:
        """The active key."""
        return self._keys[self._active]

    @property
    def ordered(self) -> tuple[KeyT, ...]:
        """Every key, the active one first."""
        others = (
            key for number, key in self._keys.items() if number != self._active
        )
        return (self.current, *others)
