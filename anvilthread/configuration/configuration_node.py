"""The configuration component of one node."""

from random import Random

import gevent

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.configuration.applier import STORE_KEY
from anvilthread.configuration.holder import ConfigurationHolder, Listener
from anvilthread.configuration.lost_record_writer import LostRecordWriter
from anvilthread.configuration.peers import ConfigurationPeers
from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.record_writer import RecordWriter
from anvilthread.configuration.replicator import Replicator
from anvilthread.configuration.store_watcher import StoreWatcher
from anvilthread.store import Store
from anvilthread.transport import Transport


class ConfigurationNode:
    """Holds the highest revision seen and replicates it to peers.

    Args:
        site: Site of this node.
        store: The platform's store.
        transport: Messages to other nodes.
        peers: Other nodes.
        clock: Clock of all delays.
        random: Source of jitter and choices.
    """

    __slots__ = ('_holder', '_replicator', '_tasks', '_watcher')

    def __init__(
        self,
        *,
        site: str,
        store: Store,
        transport: Transport,
        peers: ConfigurationPeers,
        clock: Clock,
        random: Random,
    ) -> None:
        self._holder = ConfigurationHolder(site=site)
        self._replicator = Replicator(
            transport=transport,
            peers=peers,
            holder=self._holder,
            clock=clock,
            random=random,
        )
        self._watcher = StoreWatcher(
            store=store,
            local_address=transport.address,
            peers=peers,
            clock=clock,
            random=random,
            on_record=self._replicator.receive_record,
            lost_record_writer=LostRecordWriter(
                record_writer=RecordWriter(key=STORE_KEY, store=store),
                holder=self._holder,
                clock=clock,
                random=random,
            ),
        )
        self._tasks: list[gevent.Greenlet] = []

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none yet."""
        return self._holder.revision

    @property
    def record(self) -> ConfigurationRecord | None:
        """Record in force."""
        return self._holder.record

    @property
    def malformed_count(self) -> int:
        """Number of messages that could not be decoded."""
        return self._replicator.malformed_count

    def subscribe(self, listener: Listener) -> None:
        """Calls a listener whenever a configuration comes into force.

        Args:
            listener: Called with the record and the configuration of this
                site. It must not block, because it runs in the task that
                adopts the record.
        """
        self._holder.subscribe(listener)

    def peer_revision(self, address: Address, revision: int) -> None:
        """Records a revision that a membership message has piggybacked.

        Args:
            address: Address of the peer's configuration transport.
            revision: Revision that the peer holds.
        """
        self._replicator.add_peer_revision(address, revision)

    def offer(self, record: ConfigurationRecord, source: str) -> None:
        """Adopts a record that the store has accepted, and notifies peers.

        A record whose revision is not higher than the one in force is ignored.
        A command that has applied a change may pass the record to a node, so
        that it reaches the nodes even if the watchers are cut off from the
        store.

        Args:
            record: Record from :class:`Applied`.
            source: Name of the caller, for the log.
        """
        self._replicator.receive_record(record, source)

    def start(self) -> None:
        """Starts the tasks."""
        self._tasks = [
            gevent.spawn(self._replicator.run_receiver),
            gevent.spawn(self._replicator.run_fetcher),
            gevent.spawn(self._watcher.run),
        ]

    def stop(self) -> None:
        """Ends the tasks; the transport and the store stay open."""
        gevent.killall(self._tasks)
