"""Writes revision records to the store."""

from result import Err, Result

from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.record_codec import record_digest
from anvilthread.store import Snapshot, Store, StoreError, WriteGuard


class RecordWriter:
    """Replaces the record in the store if it is still the one that was read.

    Args:
        key: Key of the record; its guard key is below it.
        store: The platform's store.
    """

    __slots__ = ('_key', '_store')

    def __init__(self, *, key: str, store: Store) -> None:
        self._key = key
        self._store = store

    def write(
        self,
        record: ConfigurationRecord,
        encoded: bytes,
        *,
        snapshot: Snapshot,
        replaced: ConfigurationRecord | None,
    ) -> Result[None, StoreError]:
        """Writes a record.

        Args:
            record: The new record.
            encoded: The same, as the store holds it.
            snapshot: What was read.
            replaced: The record in it, if there is one.

        Returns:
            None, or ``StoreConflict`` if the store holds something else.
        """
        guard_key = ''
        if replaced is not None:
            guard_key = self._guard_key(replaced)
            found = self._store.get(guard_key)
            if isinstance(found, Err):
                return found
            if found.ok_value.revision != snapshot.revision:
                # The record was written without a guard key, by an earlier
                # release or by hand.
                guard_key = ''
        return self._store.put(
            self._key,
            encoded,
            snapshot.revision,
            WriteGuard(replaced=guard_key, created=self._guard_key(record)),
        )

    def _guard_key(self, record: ConfigurationRecord) -> str:
        return f'{self._key}/{record_digest(record).hex()}'
