"""The search of an agent for the holders of flows."""

import itertools
from collections.abc import Callable
from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_search import FlowSearch
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.offer import Offer
from anvilthread.flows.packet_form import PacketForm
from anvilthread.flows.packet_messages import Forward
from anvilthread.flows.roster import Roster
from anvilthread.flows.search_messages import Absent, Ask, Held, NotHeld
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.log import Log

#: A target returns a packet that it does not hold at once. One that was not
#: returned within this time has been taken.
_OFFER_MS: Final = 40

#: A search ends when a client retransmits (200 ms), which starts another.
_SEARCH_MS: Final = 180

#: An agent silent for this long does not answer a question now.
_ANSWERS_MS: Final = 1500

#: Offers of so many flows over at least this time, without any sign of life
#: from the target, show that there is none: it would have returned those
#: flows that it does not hold, and answered the others.
_MISSING_OFFERS: Final = 5
_MISSING_MS: Final = 500

_MAX_MARK: Final = 0xFFFFFFFF

#: Takes a flow over that the target turned out to hold, for a balancer.
ClaimListener = Callable[[FlowKey, str], None]


class HolderSearch:
    """Asks the other agents of the service and, if need be, the own target.

    The target is asked by offering it a packet: it returns what it does not
    hold.

    Args:
        clock: Source of time.
        network: Where messages and packets go.
        form: Codec of the packets.
        roster: Other agents of the service.
        target: State of the own target.
        on_claim: Called with each flow that the own target holds.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_counters',
        '_form',
        '_log',
        '_marks',
        '_network',
        '_offers',
        '_on_claim',
        '_roster',
        '_searches',
        '_target',
        '_unanswered',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        form: PacketForm,
        roster: Roster,
        target: TargetWatch,
        on_claim: ClaimListener,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._form = form
        self._roster = roster
        self._target = target
        self._on_claim = on_claim
        self._log = log
        self._counters = counters
        self._searches: dict[FlowKey, FlowSearch] = {}
        self._offers: dict[int, Offer] = {}
        self._marks = itertools.count(1)
        #: Time of the first offer of each flow that the target, not heard
        #: so far, has not returned.
        self._unanswered: dict[FlowKey, int] = {}

    def start(
        self,
        balancer: str,
        packet: FlowPacket,
        *,
        offers_own: bool,
        agents: int = 0,
    ) -> None:
        """Looks for the holder of a flow.

        Args:
            balancer: Host of the balancer that is to be told.
            packet: A packet of the flow.
            offers_own: Whether the own target may hold the flow.
            agents: Agents of the service that the balancer knows, this one
                included. A new agent that knows fewer proves no absence.
        """
        search = self._searches.get(packet.key)
        if search is not None:
            search.keep(packet.content)
            return
        own = self._roster.own
        now_ms = self._clock.now_ms()
        others = self._roster.present_agents(own.service)
        asked = [node.host for node in others if _answers(node, now_ms)]
        search = FlowSearch(
            balancer=balancer,
            asked=[*asked, own.host] if offers_own else asked,
            acknowledged=packet.acknowledged,
            now_ms=now_ms,
            is_complete=len(asked) >= max(len(others), agents - 1),
        )
        self._searches[packet.key] = search
        self._event(
            'holder_searched',
            packet.key,
            asked=len(asked),
            known=len(others),
            offers_own=offers_own,
        )
        ask = Ask(packet=packet.content, service=own.service, balancer=balancer)
        for host in asked:
            self._network.send_node(host, ask)
        if offers_own:
            self.offer(own.host, packet, balancer)
        self._conclude(packet.key, search)

    def offer(self, finder: str, packet: FlowPacket, balancer: str) -> None:
        """Offers a packet to the target to see whether it holds the flow."""
        mark = next(self._marks) & _MAX_MARK
        self._offers[mark] = Offer(
            key=packet.key,
            finder=finder,
            balancer=balancer,
            started_ms=self._clock.now_ms(),
            is_heard=self._target.is_heard,
        )
        self._network.send_target(self._form.marked(packet.content, mark))
        self._event('flow_offered', packet.key, finder=finder)

    def on_bounced(self, mark: int) -> bool:
        """Handles a packet that the target has returned.

        Args:
            mark: Mark of the packet.

        Returns:
            Whether it had been offered.
        """
        offer = self._offers.pop(mark, None)
        if offer is None:
            return False
        self._deny(offer)
        return True

    def on_reset(self, key: FlowKey) -> None:
        """Handles a reset of the target for a flow that it does not hold."""
        for mark, offer in list(self._offers.items()):
            if offer.key == key:
                self._offers.pop(mark)
                self._deny(offer)

    def on_held(self, host: str, message: Held) -> None:
        """Ends a search: sends what has waited to the holder."""
        search = self._searches.pop(FlowKey(message.key), None)
        if search is None:
            return
        for packet in search.packets:
            forward = Forward(packet=packet, service=message.service)
            self._network.send_node(host, forward)

    def on_not_held(self, host: str, message: NotHeld) -> None:
        """Notes an answer to a search."""
        key = FlowKey(message.key)
        search = self._searches.get(key)
        if search is not None:
            search.deny(host)
            self._conclude(key, search)

    def tick(self) -> None:
        """Ends offers and searches that are over."""
        now_ms = self._clock.now_ms()
        for mark, offer in list(self._offers.items()):
            if now_ms - offer.started_ms <= _OFFER_MS:
                continue
            if offer.is_due:
                self._offers.pop(mark)
                self._settle(offer)
            else:
                # After a pause of the process, what the target has returned
                # is read between this tick and the next one.
                self._offers[mark] = msgspec.structs.replace(offer, is_due=True)
        for key, search in list(self._searches.items()):
            if now_ms - search.started_ms > _SEARCH_MS:
                self._searches.pop(key)
                self._counters.add('searches_timed_out')

    def _deny(self, offer: Offer) -> None:
        message = NotHeld(key=offer.key)
        own_host = self._roster.own.host
        if offer.finder == own_host:
            self.on_not_held(own_host, message)
        else:
            self._network.send_node(offer.finder, message)

    def _settle(self, offer: Offer) -> None:
        """Concludes from the silence of the target after an offer."""
        if offer.is_heard and self._target.is_heard:
            self._claim(offer)
            return
        self._counters.add('offers_unanswered')
        if self._target.is_missing or self._is_nobody_there(offer):
            self._deny(offer)

    def _is_nobody_there(self, offer: Offer) -> bool:
        if self._target.has_shown_life:
            return False
        self._unanswered.setdefault(offer.key, offer.started_ms)
        if len(self._unanswered) < _MISSING_OFFERS:
            return False
        since_ms = min(self._unanswered.values())
        return self._clock.now_ms() - since_ms >= _MISSING_MS

    def _claim(self, offer: Offer) -> None:
        """Tells that the target has kept a packet."""
        self._on_claim(offer.key, offer.balancer)
        own = self._roster.own
        held = Held(key=offer.key, service=own.service)
        self._network.send_node(offer.balancer, held)
        if offer.finder == own.host:
            self.on_held(own.host, held)
        else:
            self._network.send_node(offer.finder, held)
        self._event('flow_recovered', offer.key, balancer=offer.balancer)

    def _conclude(self, key: FlowKey, search: FlowSearch) -> None:
        if not search.is_answered:
            return
        self._searches.pop(key, None)
        if search.proves_absence:
            absent = Absent(key=key, acknowledged=search.acknowledged)
            self._network.send_node(search.balancer, absent)
        else:
            self._counters.add('searches_incomplete')

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)


def _answers(node: KnownNode, now_ms: int) -> bool:
    return node.heard_ms is not None and now_ms - node.heard_ms <= _ANSWERS_MS
