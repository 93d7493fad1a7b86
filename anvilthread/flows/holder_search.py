"""The search for the holders of flows by a balancer."""

from collections.abc import Callable, Iterable
from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.fleet_view import FleetView
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_search import FlowSearch
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.locate_batch import LocateBatch
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.packet_messages import Forward
from anvilthread.flows.search_messages import Ask, Locate
from anvilthread.telemetry.log import Log

#: Candidates of the flow's own service that are asked one pair after another.
OWN_CANDIDATES: Final = 4
_PAIR: Final = 2

#: Candidates of each other service, asked at once after those. A route may
#: have been given to another service since the flow was opened.
OTHER_CANDIDATES: Final = 3

#: Other services whose candidates are asked before all agents are.
_MAX_OTHER_SERVICES: Final = 4

#: Time after which a search goes on without an answer of the last candidates.
#: An offer to a target takes 40 to 60 ms.
_ANSWER_TIMEOUT_MS: Final = 80

#: Packets of one flow that may be offered to targets while an agent that may
#: hold the flow does not answer or is unknown. Three packets that reach other targets and
#: none that reaches its own count as a broken flow.
_MAX_UNCERTAIN_OFFERS: Final = 2

#: Minimum time between two questions to all agents, and its growth per agent,
#: for at most 500 messages per second.
_MIN_ROUND_MS: Final = 40
_ROUND_PER_AGENT_MS: Final = 2

#: Packets that agents may offer to their targets per round, of all flows.
_MAX_OFFERS_PER_ROUND: Final = 32

#: Searches at a time, of up to eight packets each.
_MAX_SEARCHES: Final = 2000

#: Time without a packet of the client after which its search ends. A client
#: retransmits at least every 1.6 s.
_IDLE_TIMEOUT_MS: Final = 4000

#: Receives a flow that no target holds, the last stream position that its
#: client has acknowledged, and fields for the log.
AbsenceListener = Callable[[FlowKey, int, dict[str, object]], None]


class HolderSearch:
    """Asks the candidates of a flow, then all agents that may hold it.

    A flow is sought by one search at a time, and an agent that has denied it
    is not asked again. Questions to all agents are collected for many flows,
    so their number depends on the agents and not on the flows.

    Args:
        clock: Source of time.
        network: Sends messages.
        fleet: The agents that may hold flows.
        on_absence: Called with each flow that is known to have no holder, and
            again with each further packet of its client.
        log: Receives one line per search.
        counters: Counts of searches and questions.
    """

    __slots__ = (
        '_clock',
        '_counters',
        '_fleet',
        '_log',
        '_network',
        '_next_round_ms',
        '_offers_left',
        '_on_absence',
        '_searches',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        fleet: FleetView,
        on_absence: AbsenceListener,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._fleet = fleet
        self._on_absence = on_absence
        self._log = log
        self._counters = counters
        self._searches: dict[FlowKey, FlowSearch] = {}
        self._next_round_ms = 0
        self._offers_left = 0

    @property
    def open_searches(self) -> int:
        """Number of flows whose holder is sought or was not found."""
        return len(self._searches)

    def start(
        self, packet: FlowPacket, service: str, denied_by: str = ''
    ) -> None:
        """Starts the search for the holder of a flow, or adds a packet to it.

        Args:
            packet: A packet of the flow.
            service: Service that the route of the flow has now.
            denied_by: Host of an agent that does not hold the flow, if known.
        """
        now_ms = self._clock.now_ms()
        search = self._searches.get(packet.key)
        if search is not None:
            search.queue_packet(packet, now_ms)
            if denied_by:
                search.record_denial(denied_by)
            if search.is_absent:
                self._report_absence(search)
            return
        if len(self._searches) >= _MAX_SEARCHES:
            self._counters.add('searches_rejected')
            return
        search = FlowSearch(packet=packet, service=service, now_ms=now_ms)
        if denied_by:
            search.record_denial(denied_by)
        self._searches[packet.key] = search
        self._event('holder_sought', search, service=service)
        self._ask_candidates(search)

    def cancel(self, key: FlowKey) -> None:
        """Ends the search for a flow whose client opens it anew."""
        self._searches.pop(key, None)

    def on_held(self, host: str, key: FlowKey, service: str) -> None:
        """Ends a search, and sends the queued packets to the holder."""
        search = self._searches.pop(key, None)
        if search is None:
            return
        for packet in search.packets_for(host):
            forward = Forward(packet=packet, service=service)
            self._network.send_to_node(host, forward)
        self._event(
            'holder_found',
            search,
            agent=host,
            service=service,
            **self._outcome(search),
        )

    def on_denied(self, host: str, keys: Iterable[bytes]) -> None:
        """Handles the answer of an agent that does not hold some flows."""
        for search in self._answered_searches(host, keys):
            search.record_denial(host)
            self._continue(search)

    def on_unknown(self, host: str, keys: Iterable[bytes]) -> None:
        """Handles the answer of an agent that does not know some flows."""
        for search in self._answered_searches(host, keys):
            search.record_unknown(host)
            if search.is_asking_candidates and self._offers_allowed(search):
                self._ask(search, host, may_offer=True)
            self._continue(search)

    def on_node_started(self, node: KnownNode) -> None:
        """Asks an agent that has started, or restarted, without a pause."""
        if node.record.role != NodeRole.AGENT:
            return
        for search in self._searches.values():
            search.forget_pause(node.host)
            search.has_candidates = True

    def tick(self) -> None:
        """Continues searches without an answer, and questions all agents."""
        now_ms = self._clock.now_ms()
        for key, search in list(self._searches.items()):
            if now_ms - search.last_packet_ms > _IDLE_TIMEOUT_MS:
                self._searches.pop(key)
                self._counters.add('searches_expired')
        if self._searches and now_ms >= self._next_round_ms:
            self._run_round(now_ms)

    def _answered_searches(
        self, host: str, keys: Iterable[bytes]
    ) -> list[FlowSearch]:
        """Returns the searches that have asked a host about some flows."""
        searches: list[FlowSearch] = []
        for key in keys:
            search = self._searches.get(FlowKey(key))
            if search is not None and search.was_asked(host):
                searches.append(search)
            elif search is not None:
                self._event('answer_unexpected', search, agent=host)
        return searches

    def _continue(self, search: FlowSearch) -> None:
        """Takes the next step once all agents asked have answered."""
        if search.is_unanswered or search.is_absent:
            return
        if search.has_candidates:
            self._ask_candidates(search)
        if not search.is_unanswered:
            self._conclude(search, self._possible_hosts())

    def _ask_candidates(self, search: FlowSearch) -> None:
        now_ms = self._clock.now_ms()
        hosts = [
            host
            for host in self._candidates(search)
            if not search.was_asked(host)
        ]
        search.has_candidates = len(hosts) > _PAIR
        search.waits_until_ms = now_ms + _ANSWER_TIMEOUT_MS
        for host in hosts[:_PAIR]:
            self._ask(search, host, may_offer=False)

    def _candidates(self, search: FlowSearch) -> list[str]:
        """Returns the hosts to ask first, in order."""
        return self._ranked_hosts(
            search, own=OWN_CANDIDATES, other=OTHER_CANDIDATES
        )

    def _ranked_hosts(
        self,
        search: FlowSearch,
        *,
        own: int | None = None,
        other: int | None = None,
    ) -> list[str]:
        """Returns the possible holders of a flow, the likeliest first.

        Args:
            search: Search for the flow.
            own: Maximum number of agents of the flow's service.
            other: Maximum number of agents of each other service.
        """
        fleet = self._fleet
        ranked = fleet.candidates(search.service, search.key)[:own]
        names = [name for name in fleet.services if name != search.service]
        if other is not None:
            names = names[:_MAX_OTHER_SERVICES]
        for name in names:
            ranked.extend(fleet.candidates(name, search.key)[:other])
        return [node.host for node in ranked]

    def _ask(self, search: FlowSearch, host: str, *, may_offer: bool) -> None:
        search.record_question(host, self._clock.now_ms(), with_packet=True)
        search.offers += may_offer
        self._counters.add('search_questions')
        ask = Ask(packet=search.first_packet, may_offer=may_offer)
        self._network.send_to_node(host, ask)

    def _run_round(self, now_ms: int) -> None:
        """Continues every search, with one message at most to each agent."""
        hosts = self._possible_hosts()
        self._next_round_ms = now_ms + max(
            _MIN_ROUND_MS, _ROUND_PER_AGENT_MS * len(hosts)
        )
        batch = LocateBatch()
        self._offers_left = _MAX_OFFERS_PER_ROUND
        for search in self._searches.values():
            is_waiting = search.is_unanswered and now_ms < search.waits_until_ms
            if search.is_absent or is_waiting:
                continue
            if search.has_candidates:
                self._ask_candidates(search)
            else:
                self._question_all(search, hosts, batch)
        for host, keys in batch.items():
            self._counters.add('search_questions')
            self._network.send_to_node(host, Locate(keys=keys))

    def _question_all(
        self, search: FlowSearch, hosts: list[str], batch: LocateBatch
    ) -> None:
        """Asks all agents that may hold a flow and have not answered."""
        if self._conclude(search, hosts):
            return
        search.is_asking_candidates = False
        pending = search.pending(hosts)
        unsure = [host for host in pending if search.is_unknown_to(host)]
        if len(unsure) == len(pending):
            self._let_offer(search, unsure)
            return
        now_ms = self._clock.now_ms()
        for host in pending:
            is_due = host not in unsure and search.is_due(host, now_ms)
            if is_due and batch.add(host, search.key):
                search.record_question(host, now_ms, with_packet=False)

    def _conclude(self, search: FlowSearch, hosts: list[str]) -> bool:
        """Ends a search that all agents have denied.

        Returns:
            Whether there is no agent left to ask.
        """
        if search.pending(hosts):
            return False
        if self._fleet.proves_absence:
            search.is_absent = True
            self._report_absence(search)
        return True

    def _offers_allowed(self, search: FlowSearch) -> int:
        """Returns how many more agents may offer the packet of a search."""
        is_silent = search.is_asking_candidates and search.is_unanswered
        if self._fleet.knows_agents and not is_silent:
            return _MAX_OFFERS_PER_ROUND
        return max(_MAX_UNCERTAIN_OFFERS - search.offers, 0)

    def _possible_hosts(self) -> list[str]:
        return [node.host for node in self._fleet.possible_holders]

    def _let_offer(self, search: FlowSearch, pending: list[str]) -> None:
        """Lets agents that do not know ask their targets, the likeliest first.

        A packet reaches few targets that do not hold its flow: the candidates
        are asked in the first round, and twice as many agents in each next
        one.
        """
        now_ms = self._clock.now_ms()
        ordered = [
            host
            for host in self._ranked_hosts(search)
            if host in pending and search.is_due(host, now_ms)
        ]
        count = min(
            search.offer_limit, self._offers_left, self._offers_allowed(search)
        )
        asked = ordered[:count]
        for host in asked:
            self._ask(search, host, may_offer=True)
        if asked:
            self._offers_left -= len(asked)
            search.offer_limit *= 2

    def _report_absence(self, search: FlowSearch) -> None:
        self._on_absence(search.key, search.acknowledged, self._outcome(search))

    def _outcome(self, search: FlowSearch) -> dict[str, object]:
        return {
            'questions': search.questions,
            'took_ms': self._clock.now_ms() - search.started_ms,
        }

    def _event(self, name: str, search: FlowSearch, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(search.key), **fields)
