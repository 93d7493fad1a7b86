"""Fencing numbers that rise across a restore of the store."""

from typing import Final

from result import Err, Ok, Result

from anvilthread.clock import Clock
from anvilthread.store.store import Store
from anvilthread.store.store_error import StoreError, StoreUnavailable

_KEY_SUFFIX: Final = '/fencing'

#: Longer values are not fencing numbers, and would be slow to convert.
_MAX_DIGITS: Final = 18


class FencingCounter:
    """Counts the holders of each lease in a key beside it.

    A restore of the store takes the counter back, and the indexes of the
    store with it. So the time of day is the least number that is given out:
    it outranks the holders that a restore has made unknown, provided that
    clocks differ by less than the time between two holders.

    Args:
        store: Store that holds the counters.
        clock: Source of the time of day.
    """

    __slots__ = ('_clock', '_store')

    def __init__(self, *, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def advance(self, name: str) -> Result[int, StoreError]:
        """Returns a number above those of all former holders.

        Args:
            name: Key of the lease, which the caller has acquired.

        Returns:
            The number, or ``StoreConflict`` if another holder has advanced
            the counter meanwhile.
        """
        key = f'{name}{_KEY_SUFFIX}'
        found = self._store.get(key)
        if isinstance(found, Err):
            return found
        previous = _decode(found.ok_value.value)
        if previous is None:
            return Err(StoreUnavailable(reason=f'{key} holds no number'))
        number = max(previous + 1, self._clock.wall_ms())
        written = self._store.put(
            key, str(number).encode(), found.ok_value.revision
        )
        return written.and_then(lambda _: Ok(number))


def _decode(value: bytes | None) -> int | None:
    if value is None:
        return 0
    if value.isdigit() and len(value) <= _MAX_DIGITS:
        return int(value)
    return None
