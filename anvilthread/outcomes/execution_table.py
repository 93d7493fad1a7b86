"""The bounded table of used execution keys."""

from collections import OrderedDict
from typing import Final

from anvilthread.clock import Clock
from anvilthread.outcomes.execution_record import (
    RECORD_BYTES,
    ExecutionRecord,
)
from anvilthread.outcomes.kept_answer import KeptAnswer
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.outcome_kind import OutcomeKind

#: One kept answer takes at most this fraction (1/16) of the table's memory.
_ANSWER_LIMIT_DIVISOR: Final = 16


class ExecutionTable:
    """Records which keys were used, and keeps answers while there is room.

    A record is never dropped before its key has expired and the retention
    time has passed. Kept answers are evicted to make room for records, oldest
    first.

    Args:
        clock: Clock of the expiry.
        max_bytes: Memory for records and kept answers together.
        retention_ms: Time to retain a record after the expiry of its key.
    """

    def __init__(
        self, *, clock: Clock, max_bytes: int, retention_ms: int
    ) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._retention_ms = retention_ms
        self._records: OrderedDict[int, ExecutionRecord] = OrderedDict()
        self._kept: OrderedDict[int, KeptAnswer] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def bytes_used(self) -> int:
        """Memory of records and kept answers."""
        return len(self._records) * RECORD_BYTES + self._kept_bytes

    @property
    def answer_limit(self) -> int:
        """Maximum size of one kept answer in bytes."""
        return self._max_bytes // _ANSWER_LIMIT_DIVISOR

    def retains(self, expires_ms: int) -> bool:
        """Whether the record of a key with this expiry is still retained."""
        return self._clock.now_ms() < expires_ms + self._retention_ms

    def find(self, number: int) -> ExecutionRecord | None:
        """Returns the record of a key that was used."""
        self._drop_expired()
        return self._records.get(number)

    def add(self, record: ExecutionRecord) -> bool:
        """Adds the record of a first use; returns whether there was room."""
        self._drop_expired()
        if (len(self._records) + 1) * RECORD_BYTES > self._max_bytes:
            return False
        self._records[record.number] = record
        self._evict()
        return True

    def finish(
        self, record: ExecutionRecord, outcome: Outcome, kept: KeptAnswer
    ) -> None:
        """Stores the outcome of the run and wakes repeated requests.

        The record of a request that did not run is removed, so that its key
        can be used again.
        """
        record.outcome = outcome
        if outcome.kind is OutcomeKind.NOT_RUN:
            self._records.pop(record.number, None)
        elif outcome.kind is OutcomeKind.ANSWERED and kept.complete:
            self._store_answer(record, kept)
        record.done.set()

    def _store_answer(self, record: ExecutionRecord, kept: KeptAnswer) -> None:
        record.kept = kept
        self._kept[record.number] = kept
        self._kept_bytes += kept.size
        self._evict()

    def _evict(self) -> None:
        while self._kept and self.bytes_used > self._max_bytes:
            self._drop_answer(next(iter(self._kept)))

    def _drop_answer(self, number: int) -> None:
        kept = self._kept.pop(number, None)
        if kept is None:
            return
        self._kept_bytes -= kept.size
        self._records[number].kept = None

    def _drop_expired(self) -> None:
        # All keys of an agent have the same lifetime, so records are nearly
        # in order of expiry; one out of order is only dropped a little later.
        while self._records:
            number, oldest = next(iter(self._records.items()))
            if self.retains(oldest.expires_ms) or not oldest.done.is_set():
                return
            self._drop_answer(number)
            self._records.pop(number)
