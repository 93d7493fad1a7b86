"""Writes the record in force back to a store that has lost it."""

from random import Random
from typing import Final

from absl import logging
from result import Err

from anvilthread.clock import Clock
from anvilthread.configuration.holder import ConfigurationHolder
from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.record_writer import RecordWriter
from anvilthread.store import Snapshot, StoreConflict

#: Mean time between two attempts of a node, so that stale answers and the
#: attempts of several nodes cost few writes.
_ATTEMPT_INTERVAL_MS: Final = 1000


class LostRecordWriter:
    """Repairs a store that was restored from an older copy.

    The record in force was once confirmed by the store. Without the repair it
    would end with the last process that holds it, and no change could be
    applied. A record that is no predecessor of the one in force is a change
    that was applied after the restore, and is left alone.

    Args:
        record_writer: Writes to the platform's store.
        holder: Holder of the record in force.
        clock: Clock of the attempts.
        random: Source of the jitter.
    """

    __slots__ = (
        '_clock',
        '_holder',
        '_last_fork',
        '_next_attempt_ms',
        '_random',
        '_record_writer',
    )

    def __init__(
        self,
        *,
        record_writer: RecordWriter,
        holder: ConfigurationHolder,
        clock: Clock,
        random: Random,
    ) -> None:
        self._record_writer = record_writer
        self._holder = holder
        self._clock = clock
        self._random = random
        self._next_attempt_ms = 0
        self._last_fork = ''

    def compare(
        self, snapshot: Snapshot, stored: ConfigurationRecord | None
    ) -> None:
        """Writes the record in force if the store holds a predecessor.

        The write has no effect if the answer of the store was outdated.

        Args:
            snapshot: Answer of the store.
            stored: Its record; None if it holds none.
        """
        in_force = self._holder.record
        if in_force is None:
            return
        if stored is not None:
            if stored.revision >= in_force.revision:
                return
            if in_force.find(stored.change.change_id) != stored.change:
                self._log_fork(stored, in_force)
                return
        if self._clock.now_ms() >= self._next_attempt_ms:
            interval_ms = _ATTEMPT_INTERVAL_MS * self._random.uniform(0.5, 1.5)
            self._next_attempt_ms = self._clock.now_ms() + int(interval_ms)
            self._write(in_force, snapshot, stored)

    def _write(
        self,
        record: ConfigurationRecord,
        snapshot: Snapshot,
        stored: ConfigurationRecord | None,
    ) -> None:
        written = self._record_writer.write(
            record,
            self._holder.encoded_record,
            snapshot=snapshot,
            replaced=stored,
        )
        if not isinstance(written, Err):
            logging.warning(
                'event=configuration_written_back revision=%d '
                'remedy="none needed; the store had lost it"',
                record.revision,
            )
        elif not isinstance(written.err_value, StoreConflict):
            # A conflict means that another node was first, or that the answer
            # of the store was outdated.
            logging.warning(
                'event=configuration_write_back_failed revision=%d '
                'reason="%s" remedy="%s"',
                record.revision,
                written.err_value.reason,
                written.err_value.remedy,
            )

    def _log_fork(
        self, stored: ConfigurationRecord, in_force: ConfigurationRecord
    ) -> None:
        if stored.change.change_id == self._last_fork:
            return
        self._last_fork = stored.change.change_id
        logging.error(
            'event=configuration_forked stored=%d change=%s in_force=%d '
            'remedy="apply the intended files again with --node and '
            '--supersede"',
            stored.revision,
            stored.change.change_id,
            in_force.revision,
        )
