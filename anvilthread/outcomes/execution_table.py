"""The bounded memory of an agent for execution keys."""

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

_KEPT_SHARE: Final = 16


class ExecutionTable:
    """Remembers which keys were used, and answers while there is room.

    A record is never given up before its key has expired and the retention
    has passed. Kept answers make room for records, oldest first.

    Args:
        clock: Clock of the expiry.
        max_bytes: Memory for records and kept answers together.
        retention_ms: Time to remember a key after its expiry.
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
        """Most bytes of one kept answer."""
        return self._max_bytes // _KEPT_SHARE

    def remembers(self, expires_ms: int) -> bool:
        """Whether a key with this expiry would still have its record."""
        return self._clock.now_ms() < expires_ms + self._retention_ms

    def find(self, number: int) -> ExecutionRecord | None:
        """Returns the record of a key that was used."""
        self._forget()
        return self._records.get(number)

    def add(self, record: ExecutionRecord) -> bool:
        """Adds the record of a first use; returns whether there was room."""
        self._forget()
        if (len(self._records) + 1) * RECORD_BYTES > self._max_bytes:
            return False
        self._records[record.number] = record
        self._evict()
        return True

    def finish(
        self, record: ExecutionRecord, outcome: Outcome, kept: KeptAnswer
    ) -> None:
        """Stores the outcome of the run and wakes the repeats.

        A request that did not run gives its key back.
        """
        record.outcome = outcome
        if outcome.kind is OutcomeKind.NOT_RUN:
            self._records.pop(record.number, None)
        elif outcome.kind is OutcomeKind.ANSWERED and kept.complete:
            self._keep(record, kept)
        record.done.set()

    def _keep(self, record: ExecutionRecord, kept: KeptAnswer) -> None:
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

    def _forget(self) -> None:
        # Keys of one agent have one lifetime, so records are nearly in order
        # of expiry; one that is out of order only stays a little longer.
        while self._records:
            number, oldest = next(iter(self._records.items()))
            if self.remembers(oldest.expires_ms) or not oldest.done.is_set():
                return
            self._drop_answer(number)
            self._records.pop(number)
