"""Replicates the configuration between nodes."""

from collections.abc import Sequence
from random import Random
from typing import Final

from absl import logging
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.configuration.backoff import Backoff
from anvilthread.configuration.holder import ConfigurationHolder
from anvilthread.configuration.messages import (
    Deltas,
    Fetch,
    Message,
    Notice,
    Whole,
    decode_message,
    encode_message,
)
from anvilthread.configuration.peers import ConfigurationPeers
from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.record_codec import decode_record
from anvilthread.configuration.revision_sources import RevisionSources
from anvilthread.transport import Transport

#: Peers that are notified of a new revision. With three, notices reach about
#: 94% of the nodes; the others receive it in piggybacked revisions.
_NOTICE_FANOUT: Final = 3
#: Timeouts of a fetch: a node with a record expects a small delta, a node
#: without one the whole record.
_DELTA_TIMEOUT_MS: Final = 250
_RECORD_TIMEOUT_MS: Final = 1000
_INITIAL_RETRY_MS: Final = 100
_MAX_RETRY_MS: Final = 2000
#: Pause between two fetches of a node without a configuration.
_NO_RECORD_RETRY_MS: Final = 500
#: Mean time between comparisons of revisions with a random peer. They serve
#: programs without a membership component, and are rare because opening a
#: connection costs more than a kilobyte.
_COMPARE_INTERVAL_MS: Final = 30_000


class Replicator:
    """Notifies peers of new revisions and fetches higher ones from them.

    Args:
        transport: Messages to other nodes.
        peers: Other nodes.
        holder: Holder of the record in force.
        clock: Clock of the delays.
        random: Source of the jitter and of the choice of peers.
    """

    def __init__(
        self,
        *,
        transport: Transport,
        peers: ConfigurationPeers,
        holder: ConfigurationHolder,
        clock: Clock,
        random: Random,
    ) -> None:
        self._transport = transport
        self._peers = peers
        self._holder = holder
        self._clock = clock
        self._random = random
        self._sources = RevisionSources()
        self._source_added = Event()
        self._answered = Event()
        self._fetch_peer: Address | None = None
        self._malformed_count = 0

    @property
    def malformed_count(self) -> int:
        """Number of messages that could not be decoded."""
        return self._malformed_count

    def add_peer_revision(self, address: Address, revision: int) -> None:
        """Records the revision of a peer if it is higher than the local one."""
        if revision <= self._holder.revision:
            return
        self._sources.add(address, revision)
        self._source_added.set()

    def receive_record(self, record: ConfigurationRecord, source: str) -> None:
        """Adopts a record if its revision is higher, and notifies peers."""
        if self._holder.adopt_if_newer(record, source):
            for address in self._choose_peers(_NOTICE_FANOUT):
                self._send(address, Notice(revision=record.revision))
        self._answered.set()

    def run_receiver(self) -> None:
        """Answers messages until the task is killed."""
        while True:
            received = self._transport.receive()
            message = decode_message(received.payload)
            if message is None:
                self._malformed_count += 1
            else:
                self._handle_message(received.sender, message)

    def run_fetcher(self) -> None:
        """Fetches higher revisions until the task is killed."""
        backoff = Backoff(
            random=self._random,
            initial_ms=_INITIAL_RETRY_MS,
            max_ms=_MAX_RETRY_MS,
        )
        while True:
            self._source_added.clear()
            source = self._next_source()
            if source is None:
                self._wait_for_revision()
            elif self._fetch(source):
                backoff.reset()
            else:
                # A notice of a higher revision ends the backoff: the next
                # attempt then has a source that is known to hold it.
                self._clock.wait(self._source_added, backoff.next_ms())

    def _handle_message(self, sender: Address, message: Message) -> None:
        local_revision = self._holder.revision
        if isinstance(message, Fetch):
            self._answer_fetch(sender, message.revision)
        elif not isinstance(message, Notice):
            self._handle_record_message(sender, message)
        elif message.revision < local_revision:
            self._send(sender, Notice(revision=local_revision))
        else:
            self.add_peer_revision(sender, message.revision)
            if sender == self._fetch_peer:
                # A peer that holds no higher revision answers a fetch with a
                # notice.
                self._answered.set()

    def _answer_fetch(self, sender: Address, revision: int) -> None:
        if revision >= self._holder.revision:
            self._send(sender, Notice(revision=self._holder.revision))
            return
        deltas = self._holder.deltas_from(revision) if revision else ()
        if deltas:
            self._send(sender, Deltas(deltas=deltas))
        else:
            self._send(sender, Whole(record=self._holder.encoded_record))

    def _handle_record_message(
        self, sender: Address, message: Whole | Deltas
    ) -> None:
        record = _read_record(message, self._holder.record)
        if record is not None:
            self.receive_record(record, str(sender))
        elif isinstance(message, Deltas):
            logging.info('event=delta_does_not_fit source=%s', sender)
            self._send(sender, Fetch(revision=0))
        else:
            self._malformed_count += 1

    def _next_source(self) -> Address | None:
        local_revision = self._holder.revision
        best = self._sources.next_source(local_revision)
        if best is None and not local_revision:
            return next(iter(self._choose_peers(1)), None)
        return best

    def _fetch(self, source: Address) -> bool:
        before = self._holder.revision
        self._fetch_peer = source
        self._answered.clear()
        self._send(source, Fetch(revision=before))
        limit_ms = _DELTA_TIMEOUT_MS if before else _RECORD_TIMEOUT_MS
        self._clock.wait(self._answered, limit_ms)
        return self._holder.revision > before

    def _wait_for_revision(self) -> None:
        self._source_added.clear()
        if not self._holder.revision:
            self._clock.wait(self._source_added, _NO_RECORD_RETRY_MS)
            return
        pause_ms = _COMPARE_INTERVAL_MS * self._random.uniform(0.5, 1.5)
        if not self._clock.wait(self._source_added, pause_ms):
            for address in self._choose_peers(1):
                self._send(address, Notice(revision=self._holder.revision))

    def _choose_peers(self, count: int) -> list[Address]:
        return _sample_peers(
            self._random,
            self._peers.everywhere(),
            self._transport.address,
            count,
        )

    def _send(self, address: Address, message: Message) -> None:
        self._transport.send(address, encode_message(message))


def _read_record(
    message: Whole | Deltas, record: ConfigurationRecord | None
) -> ConfigurationRecord | None:
    if isinstance(message, Whole):
        return decode_record(message.record).ok()
    for delta in message.deltas:
        if record is not None:
            record = delta.apply(record)
    return record


def _sample_peers(
    random: Random,
    everywhere: Sequence[Address],
    local_address: Address,
    count: int,
) -> list[Address]:
    # One more than needed, in case the sample contains the node itself.
    chosen = random.sample(everywhere, min(count + 1, len(everywhere)))
    return [address for address in chosen if address != local_address][:count]
