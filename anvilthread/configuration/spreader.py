"""Spreads the configuration between nodes."""

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

#: Peers that are told of a new revision. With three, about 94% of the nodes
#: hear of it in this way; the others learn it from piggybacked revisions.
_FANOUT: Final = 3
#: A node with a record expects a small delta, a node without one the whole.
_DELTA_TIMEOUT_MS: Final = 250
_WHOLE_TIMEOUT_MS: Final = 1000
_FIRST_RETRY_MS: Final = 100
_LONGEST_RETRY_MS: Final = 2000
#: Pause between two attempts of a node without a configuration.
_EMPTY_PAUSE_MS: Final = 500
#: Opening a connection costs more than a kilobyte, so comparing revisions with
#: a random peer is rare; it serves programs without a membership component.
_COMPARE_MS: Final = 30_000


class Spreader:
    """Tells peers of new revisions and fetches higher ones from them.

    Args:
        transport: Messages to other nodes.
        peers: Other nodes.
        holder: Record in force.
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
        self._wake = Event()
        self._answered = Event()
        self._asked: Address | None = None
        self._malformed = 0

    @property
    def malformed_count(self) -> int:
        """Number of messages that could not be read."""
        return self._malformed

    def peer_revision(self, address: Address, revision: int) -> None:
        """Takes note of the revision that a peer holds."""
        if revision <= self._holder.revision:
            return
        self._sources.note(address, revision)
        self._wake.set()

    def accept(self, record: ConfigurationRecord, source: str) -> None:
        """Offers a record to the holder and tells peers if it was adopted."""
        if self._holder.offer(record, source):
            for address in self._choose_peers(_FANOUT):
                self._send(address, Notice(revision=record.revision))
        self._answered.set()

    def run_receiver(self) -> None:
        """Answers messages until the task is killed."""
        while True:
            received = self._transport.receive()
            message = decode_message(received.payload)
            if message is None:
                self._malformed += 1
            else:
                self._handle(received.sender, message)

    def run_fetcher(self) -> None:
        """Fetches higher revisions until the task is killed."""
        backoff = Backoff(
            random=self._random,
            first_ms=_FIRST_RETRY_MS,
            most_ms=_LONGEST_RETRY_MS,
        )
        while True:
            self._wake.clear()
            source = self._next_source()
            if source is None:
                self._pause()
            elif self._fetch(source):
                backoff.reset()
            else:
                # A notice of a revision ends the pause: the next attempt then
                # has a source that is known to hold it.
                self._clock.wait(self._wake, backoff.next_ms())

    def _handle(self, sender: Address, message: Message) -> None:
        own = self._holder.revision
        if isinstance(message, Fetch):
            self._answer(sender, message.revision)
        elif not isinstance(message, Notice):
            self._take(sender, message)
        elif message.revision < own:
            self._send(sender, Notice(revision=own))
        else:
            self.peer_revision(sender, message.revision)
            if sender == self._asked:
                # A peer that holds nothing newer answers a fetch in this way.
                self._answered.set()

    def _answer(self, sender: Address, revision: int) -> None:
        if revision >= self._holder.revision:
            self._send(sender, Notice(revision=self._holder.revision))
            return
        deltas = self._holder.deltas_from(revision) if revision else ()
        if deltas:
            self._send(sender, Deltas(deltas=deltas))
        else:
            self._send(sender, Whole(record=self._holder.whole))

    def _take(self, sender: Address, message: Whole | Deltas) -> None:
        record = _read_record(message, self._holder.record)
        if record is not None:
            self.accept(record, str(sender))
        elif isinstance(message, Deltas):
            logging.info('event=delta_does_not_fit source=%s', sender)
            self._send(sender, Fetch(revision=0))
        else:
            self._malformed += 1

    def _next_source(self) -> Address | None:
        own = self._holder.revision
        best = self._sources.take_best(own)
        if best is None and not own:
            return next(iter(self._choose_peers(1)), None)
        return best

    def _fetch(self, source: Address) -> bool:
        before = self._holder.revision
        self._asked = source
        self._answered.clear()
        self._send(source, Fetch(revision=before))
        limit_ms = _DELTA_TIMEOUT_MS if before else _WHOLE_TIMEOUT_MS
        self._clock.wait(self._answered, limit_ms)
        return self._holder.revision > before

    def _pause(self) -> None:
        self._wake.clear()
        if not self._holder.revision:
            self._clock.wait(self._wake, _EMPTY_PAUSE_MS)
            return
        pause_ms = _COMPARE_MS * self._random.uniform(0.5, 1.5)
        if not self._clock.wait(self._wake, pause_ms):
            for address in self._choose_peers(1):
                self._send(address, Notice(revision=self._holder.revision))

    def _choose_peers(self, number: int) -> list[Address]:
        return _choose(
            self._random,
            self._peers.everywhere(),
            self._transport.address,
            number,
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


def _choose(
    random: Random, everywhere: Sequence[Address], own: Address, number: int
) -> list[Address]:
    # One more than needed, in case the node chooses itself.
    chosen = random.sample(everywhere, min(number + 1, len(everywhere)))
    return [address for address in chosen if address != own][:number]
