"""Watches the store for new revisions on behalf of a site."""

from collections.abc import Callable
from random import Random
from typing import Final

from absl import logging
from result import Err, Ok, Result

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.configuration.applier import STORE_KEY
from anvilthread.configuration.backoff import Backoff
from anvilthread.configuration.lost_record_writer import LostRecordWriter
from anvilthread.configuration.peers import ConfigurationPeers
from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.record_codec import decode_record
from anvilthread.configuration.watcher_choice import is_watcher
from anvilthread.store import Snapshot, Store, StoreError

#: Longest wait of a watch. A store that was restored from an older copy counts
#: its indexes from there, and leaves a watch from a later index waiting; the
#: wait must end in time for a change to be in force within 3 s.
_WATCH_WAIT_MS: Final = 2000
#: Mean time between two checks of whether a node has to watch the store.
_RECHECK_INTERVAL_MS: Final = 2000
_INITIAL_RETRY_MS: Final = 250
#: After an outage a change still has to be in force within 3 s, and a few
#: watchers per site that retry every second are a small load.
_MAX_RETRY_MS: Final = 1000

#: Called with a record and the name of its source.
RecordListener = Callable[[ConfigurationRecord, str], None]


class StoreWatcher:
    """Watches the store if this node is one of its site's watchers.

    Any other node reads the store occasionally, so that a site whose watchers
    are cut off from the store still receives changes. These reads add up to
    one every two seconds for a whole site, whatever its size.

    Args:
        store: Store that holds the record.
        local_address: Address of this node's configuration transport.
        peers: Other nodes.
        clock: Clock of the delays.
        random: Source of the jitter.
        on_record: Called with every record that the store returns.
        lost_record_writer: Repairs a store that holds an older record.
    """

    __slots__ = (
        '_backoff',
        '_clock',
        '_index',
        '_local_address',
        '_lost_record_writer',
        '_on_record',
        '_peers',
        '_random',
        '_store',
    )

    def __init__(
        self,
        *,
        store: Store,
        local_address: Address,
        peers: ConfigurationPeers,
        clock: Clock,
        random: Random,
        on_record: RecordListener,
        lost_record_writer: LostRecordWriter,
    ) -> None:
        self._store = store
        self._local_address = local_address
        self._peers = peers
        self._clock = clock
        self._random = random
        self._on_record = on_record
        self._lost_record_writer = lost_record_writer
        self._index = 0
        self._backoff = Backoff(
            random=random,
            initial_ms=_INITIAL_RETRY_MS,
            max_ms=_MAX_RETRY_MS,
        )

    def run(self) -> None:
        """Watches until the task is killed."""
        while True:
            site = self._peers.same_site()
            if is_watcher(self._local_address, site):
                self._watch()
            else:
                self._read_occasionally(len(site))

    def _watch(self) -> None:
        start_ms = self._clock.now_ms()
        previous = self._index
        answer = self._store.watch(STORE_KEY, previous, _WATCH_WAIT_MS)
        self._handle_answer(answer)
        waited = self._clock.now_ms() - start_ms >= _WATCH_WAIT_MS
        if self._index > previous or (answer.is_ok() and waited):
            self._backoff.reset()
        else:
            self._clock.sleep_ms(self._backoff.next_ms())

    def _read_occasionally(self, site_size: int) -> None:
        self._clock.sleep_ms(
            _RECHECK_INTERVAL_MS * self._random.uniform(0.5, 1.5)
        )
        if self._random.random() * site_size < 1:
            self._handle_answer(self._store.get(STORE_KEY))

    def _handle_answer(self, answer: Result[Snapshot, StoreError]) -> None:
        if isinstance(answer, Err):
            # The store may come back from an older copy, in which the index
            # is in the future. Without one, the next watch answers at once.
            self._index = 0
            logging.log_every_n_seconds(
                logging.WARNING,
                'event=store_call_failed reason="%s" remedy="%s"',
                10,
                answer.err_value.reason,
                answer.err_value.remedy,
            )
            return
        snapshot = answer.ok_value
        if snapshot.index < self._index:
            logging.warning(
                'event=store_index_decreased previous=%d index=%d '
                'remedy="none needed if the store was restored from a copy"',
                self._index,
                snapshot.index,
            )
        self._index = snapshot.index
        if snapshot.value is None:
            self._lost_record_writer.compare(snapshot, None)
            return
        decoded = decode_record(snapshot.value)
        if isinstance(decoded, Ok):
            self._on_record(decoded.ok_value, 'store')
            self._lost_record_writer.compare(snapshot, decoded.ok_value)
            return
        logging.error(
            'event=store_record_malformed reason="%s" remedy="%s"',
            decoded.err_value.reason,
            decoded.err_value.remedy,
        )
