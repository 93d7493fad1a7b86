"""Applies configuration changes of operators to the store."""

from collections.abc import Callable
from random import Random
from typing import Final

from result import Err, Ok, Result

from anvilthread.clock import Clock
from anvilthread.configuration.applied import Applied
from anvilthread.configuration.apply_error import (
    ApplyError,
    ApplyRefused,
    ApplyUnavailable,
    ApplyUnknown,
)
from anvilthread.configuration.apply_progress import ApplyProgress, Outcome
from anvilthread.configuration.backoff import Backoff
from anvilthread.configuration.loader import load_configurations
from anvilthread.configuration.proposal import Proposal
from anvilthread.configuration.record import Change, ConfigurationRecord
from anvilthread.configuration.record_codec import (
    RecordFormatError,
    decode_record,
    encode_record,
)
from anvilthread.configuration.record_writer import RecordWriter
from anvilthread.store import (
    Snapshot,
    Store,
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreRefused,
)

#: Key of the record in the store.
STORE_KEY: Final = 'anvilthread/configuration'

_DEADLINE_MS: Final = 30_000
_INITIAL_RETRY_MS: Final = 100
_MAX_RETRY_MS: Final = 2000


class Applier:
    """Applies changes by compare-and-swap on one value.

    Args:
        store: Store that holds the record.
        clock: Clock of the retries and of the times in the history.
        random: Source of the jitter.
        peer_revision: Returns the highest revision known to any node that
            can be reached.
        deadline_ms: Longest time for one change, retries included.
    """

    __slots__ = (
        '_clock',
        '_deadline_ms',
        '_peer_revision',
        '_random',
        '_record_writer',
        '_store',
    )

    def __init__(
        self,
        *,
        store: Store,
        clock: Clock,
        random: Random,
        peer_revision: Callable[[], int],
        deadline_ms: int = _DEADLINE_MS,
    ) -> None:
        self._store = store
        self._record_writer = RecordWriter(key=STORE_KEY, store=store)
        self._clock = clock
        self._random = random
        self._peer_revision = peer_revision
        self._deadline_ms = deadline_ms

    def apply(self, proposal: Proposal) -> Outcome:
        """Applies a change at most once, even if answers are lost.

        Args:
            proposal: The change.

        Returns:
            The change in the store, or the reason why it is not known to be
            stored.
        """
        loaded = load_configurations(proposal.texts)
        if isinstance(loaded, Err):
            return Err(loaded.err_value)
        deadline_ms = self._clock.now_ms() + self._deadline_ms
        backoff = self._backoff()
        progress = ApplyProgress(proposal=proposal)
        while True:
            attempt = self._attempt(proposal, progress)
            if not isinstance(attempt, StoreError):
                return attempt
            if isinstance(attempt, StoreAnswerLost):
                progress.maybe_written = True
            delay_ms = backoff.next_ms()
            if self._clock.now_ms() + delay_ms >= deadline_ms:
                return Err(
                    _deadline_error(
                        proposal, attempt, maybe_written=progress.maybe_written
                    )
                )
            self._clock.sleep_ms(delay_ms)

    def restore(self, record: ConfigurationRecord) -> Result[None, ApplyError]:
        """Writes the record of a node to a store that holds an older one."""
        found = self._read()
        if isinstance(found, Err):
            return Err(ApplyUnavailable(reason=str(found.err_value)))
        snapshot, stored = found.ok_value
        if stored is not None and stored.revision >= record.revision:
            return Ok(None)
        written = encode_record(record).and_then(
            lambda value: self._record_writer.write(
                record, value, snapshot=snapshot, replaced=stored
            )
        )
        return written.map_err(
            lambda error: ApplyRefused(
                reason=error.reason, remedy='read the store and restore again'
            )
        )

    def _attempt(
        self, proposal: Proposal, progress: ApplyProgress
    ) -> Outcome | StoreError:
        found = self._read()
        if isinstance(found, Err):
            return _read_failure(found.err_value)
        snapshot, stored = found.ok_value
        known = max(self._peer_revision(), proposal.expected)
        resolved = progress.resolve(stored, known)
        if resolved is not None:
            return resolved
        record = self._next_record(proposal, stored, known + 1)
        return self._write(record, snapshot, stored)

    def _write(
        self,
        record: ConfigurationRecord,
        snapshot: Snapshot,
        stored: ConfigurationRecord | None,
    ) -> Outcome | StoreError:
        encoded = encode_record(record)
        if isinstance(encoded, Err):
            error = encoded.err_value
            return Err(ApplyRefused(reason=error.reason, remedy=error.remedy))
        written = self._record_writer.write(
            record, encoded.ok_value, snapshot=snapshot, replaced=stored
        )
        if isinstance(written, Ok):
            return Ok(
                Applied(revision=record.revision, is_new=True, record=record)
            )
        failure = written.err_value
        if isinstance(failure, StoreRefused):
            return Err(
                ApplyRefused(reason=failure.reason, remedy=failure.remedy)
            )
        return failure

    def _next_record(
        self,
        proposal: Proposal,
        stored: ConfigurationRecord | None,
        revision: int,
    ) -> ConfigurationRecord:
        change = Change(
            revision=revision,
            change_id=proposal.change_id,
            operator=proposal.operator,
            applied_ms=self._clock.wall_ms(),
        )
        if stored is None:
            return ConfigurationRecord(change=change, texts=proposal.texts)
        return stored.followed_by(change, proposal.texts)

    def _read(
        self,
    ) -> Result[
        tuple[Snapshot, ConfigurationRecord | None],
        StoreError | RecordFormatError,
    ]:
        found = self._store.get(STORE_KEY)
        if isinstance(found, Err):
            return found
        snapshot = found.ok_value
        if snapshot.value is None:
            return Ok((snapshot, None))
        return decode_record(snapshot.value).map(
            lambda record: (snapshot, record)
        )

    def _backoff(self) -> Backoff:
        return Backoff(
            random=self._random,
            initial_ms=_INITIAL_RETRY_MS,
            max_ms=_MAX_RETRY_MS,
        )


def _read_failure(
    error: StoreError | RecordFormatError,
) -> Outcome | StoreError:
    if isinstance(error, StoreRefused | RecordFormatError):
        return Err(ApplyRefused(reason=error.reason, remedy=error.remedy))
    return error


def _deadline_error(
    proposal: Proposal, error: StoreError, *, maybe_written: bool
) -> ApplyError:
    if maybe_written:
        return ApplyUnknown(change_id=proposal.change_id, reason=error.reason)
    if isinstance(error, StoreConflict):
        return ApplyUnavailable(reason='the store keeps returning old data')
    return ApplyUnavailable(reason=error.reason)
