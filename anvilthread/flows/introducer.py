"""Discovery of nodes, and exchange of node lists between peers."""

from collections.abc import Iterable
from random import Random
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.node_messages import Hello, Peers
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.store_era import StoreEra

#: Records take up to 65 bytes each, and a message at most 1,200 bytes.
_MAX_RECORDS_PER_MESSAGE: Final = 16

#: Contacts tried per tick while the node has no peers of the other role.
_MAX_CONTACTS_PER_TICK: Final = 8


class Introducer:
    """Sends hellos to contacts until peers are known, then to the peers.

    Args:
        clock: Source of time.
        random: Source of the choice of peers.
        network: Sends the messages.
        roster: This node and its peers.
        routes: Its version and evacuated sites are part of every hello.
        store_era: Part of every hello, and learned from those of peers.
    """

    __slots__ = (
        '_clock',
        '_contacts',
        '_has_list',
        '_last_exchange_ms',
        '_last_hello_ms',
        '_network',
        '_random',
        '_roster',
        '_routes',
        '_store_era',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        network: FlowNetwork,
        roster: Roster,
        routes: RouteHolder,
        store_era: StoreEra,
    ) -> None:
        self._clock = clock
        self._random = random
        self._network = network
        self._roster = roster
        self._routes = routes
        self._store_era = store_era
        self._contacts: set[str] = set()
        #: Whether the list of a peer has arrived.
        self._has_list = False
        self._last_hello_ms = clock.now_ms()
        self._last_exchange_ms = clock.now_ms()

    def add_contacts(self, hosts: Iterable[str]) -> None:
        """Adds hosts on which nodes may run."""
        local_host = self._roster.local_node.host
        self._contacts.update(host for host in hosts if host != local_host)

    def send_hellos(self, hosts: Iterable[str]) -> None:
        """Sends a hello to hosts on which nodes may run."""
        hello = self._make_hello(wants_peers=True)
        for host in hosts:
            if host != self._roster.local_node.host:
                self._network.send_to_node(host, hello)

    def announce(self) -> None:
        """Sends the version of the configuration to every peer seen so far."""
        hello = self._make_hello(wants_peers=False)
        for node in self._roster.nodes:
            if node.last_seen_ms is not None:
                self._network.send_to_node(node.host, hello)

    def on_hello(self, host: str, message: Hello) -> None:
        """Records the sender, and sends it the list of peers if it asks."""
        self._store_era.observe(message.store_era, host)
        if message.evacuation is not None:
            self._routes.evacuations.update(
                message.evacuation, f'peer:{host}', message.evacuation_age_ms
            )
        before = self._roster.get(host)
        self._roster.record_sender(message.node)
        is_new = before is None or before.record != message.node
        if message.wants_peers:
            self._send_peers(host)
        elif is_new:
            self._network.send_to_node(
                host, self._make_hello(wants_peers=False)
            )

    def on_peers(self, message: Peers) -> None:
        """Sends a hello to each node of a list that is unknown or differs."""
        self._has_list = True
        if message.nodes:
            self._roster.record_sender(message.nodes[0])
        for record in message.nodes:
            known = self._roster.get(record.host)
            if known is not None and known.record != record:
                # The node has restarted, or the list is old; it knows.
                self._network.send_to_node(
                    record.host, self._make_hello(wants_peers=False)
                )
        for node in self._roster.add_unknown(message.nodes):
            self._send_hello(node)

    def tick(self) -> None:
        """Sends the hellos that are due; called several times a second."""
        # A node that others have contacted first still needs a list of peers.
        if self._roster.is_alone or not self._has_list:
            self._send_hellos_to_contacts()
        for node in self._roster.nodes:
            if node.last_seen_ms is None:
                self._send_hello(node)
        now_ms = self._clock.now_ms()
        period_ms = self._roster.hello_period_ms
        if now_ms - self._last_exchange_ms >= period_ms:
            self._last_exchange_ms = now_ms
            self._exchange()
        is_balancer = self._roster.local_node.role == NodeRole.BALANCER
        if is_balancer and now_ms - self._last_hello_ms >= period_ms:
            self._last_hello_ms = now_ms
            self.announce()
        self._roster.remove_silent()

    def _send_hellos_to_contacts(self) -> None:
        count = min(_MAX_CONTACTS_PER_TICK, len(self._contacts))
        self.send_hellos(self._random.sample(sorted(self._contacts), count))

    def _exchange(self) -> None:
        """Requests the list of a random peer, and retries a missing contact."""
        hello = self._make_hello(wants_peers=True)
        seen = [
            node for node in self._roster.nodes if node.last_seen_ms is not None
        ]
        if seen:
            self._network.send_to_node(self._random.choice(seen).host, hello)
        missing = [
            contact
            for contact in self._contacts
            if self._roster.get(contact) is None
        ]
        if missing:
            host = self._random.choice(sorted(missing))
            self._network.send_to_node(host, hello)

    def _send_hello(self, node: KnownNode) -> None:
        node.count_hello()
        self._network.send_to_node(
            node.host, self._make_hello(wants_peers=False)
        )

    def _send_peers(self, host: str) -> None:
        records = self._roster.recent_records()
        local_node, others = records[0], records[1:]
        for start in range(0, max(len(others), 1), _MAX_RECORDS_PER_MESSAGE):
            part = others[start : start + _MAX_RECORDS_PER_MESSAGE]
            self._network.send_to_node(
                host, self._make_peers([local_node, *part])
            )

    def _make_peers(self, records: list[NodeRecord]) -> Peers:
        return Peers(
            nodes=tuple(records),
            version=self._routes.table.version,
            check_age_ms=self._routes.check_age_ms,
        )

    def _make_hello(self, *, wants_peers: bool) -> Hello:
        evacuations = self._routes.evacuations
        view = evacuations.view
        return Hello(
            node=self._roster.local_node,
            version=self._routes.table.version,
            check_age_ms=self._routes.check_age_ms,
            wants_peers=wants_peers,
            store_era=self._store_era.number,
            evacuation=view if view is not None and view.fits_hello else None,
            evacuation_age_ms=evacuations.age_ms,
        )
