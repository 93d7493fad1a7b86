"""How nodes find each other and stay in touch."""

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

#: Time between greetings of a balancer to an agent. Agents stop reporting to
#: balancers that they have not heard for several of these.
_GREETING_MS: Final = 1000

#: Time between comparisons of the known nodes with a random peer.
_EXCHANGE_MS: Final = 1000

#: Records in one message: up to 65 bytes each, within 1,200 bytes.
_RECORDS_AT_ONCE: Final = 16

#: Contacts tried at once while no node is known.
_CONTACTS_AT_ONCE: Final = 8


class Introducer:
    """Greets contacts until nodes are known, and nodes from then on.

    Args:
        clock: Source of time.
        random: Source of the choice of peers.
        network: Where the messages go.
        roster: The nodes known.
        routes: Its version rides on every greeting.
    """

    __slots__ = (
        '_clock',
        '_contacts',
        '_exchanged_ms',
        '_greeted_ms',
        '_network',
        '_random',
        '_roster',
        '_routes',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        network: FlowNetwork,
        roster: Roster,
        routes: RouteHolder,
    ) -> None:
        self._clock = clock
        self._random = random
        self._network = network
        self._roster = roster
        self._routes = routes
        self._contacts: set[str] = set()
        self._greeted_ms = clock.now_ms()
        self._exchanged_ms = clock.now_ms()

    def add_contacts(self, hosts: Iterable[str]) -> None:
        """Adds hosts at which nodes may be found."""
        own_host = self._roster.own.host
        self._contacts.update(host for host in hosts if host != own_host)

    def greet(self, hosts: Iterable[str]) -> None:
        """Greets hosts at which nodes may run, at once."""
        hello = self._hello(wants_peers=True)
        for host in hosts:
            if host != self._roster.own.host:
                self._network.send_node(host, hello)

    def announce(self) -> None:
        """Tells every known node the version of the configuration."""
        hello = self._hello(wants_peers=False)
        for node in self._roster.nodes:
            if node.heard_ms is not None:
                self._network.send_node(node.host, hello)

    def on_hello(self, host: str, message: Hello) -> None:
        """Takes a node in, and tells it of others if it asks."""
        before = self._roster.get(host)
        self._roster.hear(message.node)
        is_new = before is None or before.record != message.node
        if message.wants_peers:
            self._send_peers(host)
        elif is_new:
            self._network.send_node(host, self._hello(wants_peers=False))

    def on_peers(self, message: Peers) -> None:
        """Greets the nodes that a peer has told of."""
        if message.nodes:
            self._roster.hear(message.nodes[0])
        for node in self._roster.learn(message.nodes):
            self._introduce(node)

    def tick(self) -> None:
        """Greets whoever is due; called some times a second."""
        if self._roster.is_alone:
            self._greet_contacts()
        for node in self._roster.nodes:
            if node.heard_ms is None:
                self._introduce(node)
        now_ms = self._clock.now_ms()
        if now_ms - self._exchanged_ms >= _EXCHANGE_MS:
            self._exchanged_ms = now_ms
            self._exchange()
        is_balancer = self._roster.own.role == NodeRole.BALANCER
        if is_balancer and now_ms - self._greeted_ms >= _GREETING_MS:
            self._greeted_ms = now_ms
            self.announce()
        self._roster.forget_silent()

    def _greet_contacts(self) -> None:
        count = min(_CONTACTS_AT_ONCE, len(self._contacts))
        self.greet(self._random.sample(sorted(self._contacts), count))

    def _exchange(self) -> None:
        """Compares nodes with a random one, and tries a contact again."""
        hello = self._hello(wants_peers=True)
        heard = [it for it in self._roster.nodes if it.heard_ms is not None]
        if heard:
            self._network.send_node(self._random.choice(heard).host, hello)
        missing = [it for it in self._contacts if self._roster.get(it) is None]
        if missing:
            host = self._random.choice(sorted(missing))
            self._network.send_node(host, hello)

    def _introduce(self, node: KnownNode) -> None:
        node.introduce()
        self._network.send_node(node.host, self._hello(wants_peers=False))

    def _send_peers(self, host: str) -> None:
        shared = self._roster.shared()
        own, others = shared[0], shared[1:]
        for start in range(0, max(len(others), 1), _RECORDS_AT_ONCE):
            part = others[start : start + _RECORDS_AT_ONCE]
            self._network.send_node(host, self._peers([own, *part]))

    def _peers(self, records: list[NodeRecord]) -> Peers:
        return Peers(
            nodes=tuple(records),
            version=self._routes.table.version,
            checked_ms=self._routes.checked_ms,
        )

    def _hello(self, *, wants_peers: bool) -> Hello:
        return Hello(
            node=self._roster.own,
            version=self._routes.table.version,
            checked_ms=self._routes.checked_ms,
            wants_peers=wants_peers,
        )
