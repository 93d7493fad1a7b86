"""The era of the store: how often it has been restored from a copy."""

from gevent.event import Event

from anvilthread.telemetry.log import Log

#: Era before any answer of the store, and of a store that does not tell it.
UNKNOWN_ERA = 0


class StoreEra:
    """The highest era that an answer of the store or a peer has named.

    A restore takes away whatever the store has acknowledged since the copy
    was made, and numbers that it gave out since are given out again. What was
    acknowledged in an earlier era may therefore be gone.

    Args:
        log: Receives each restore.
    """

    __slots__ = ('_has_risen', '_log', '_number')

    def __init__(self, *, log: Log) -> None:
        self._log = log
        self._number = UNKNOWN_ERA
        self._has_risen = Event()

    @property
    def number(self) -> int:
        """The era; ``UNKNOWN_ERA`` before any is known."""
        return self._number

    def observe(self, number: int, source: str) -> None:
        """Records an era; lower ones are ignored, as answers may be late.

        Args:
            number: Era that an answer or a message names.
            source: Its sender, for the log.
        """
        previous = self._number
        if number <= previous:
            return
        self._number = number
        if previous == UNKNOWN_ERA:
            self._log.event('store_era_known', era=number, source=source)
        else:
            self._log.warning(
                'store_restored',
                era=number,
                previous=previous,
                source=source,
                remedy='none needed; the newest configuration stays in force',
            )
        self._has_risen.set()

    def wait_beyond(self, number: int) -> None:
        """Blocks the calling task until the era is higher than a number."""
        while self._number <= number:
            self._has_risen.clear()
            self._has_risen.wait()
