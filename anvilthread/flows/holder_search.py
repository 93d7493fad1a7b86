"""The search for the holders of flows by an agent."""

import itertools
from collections.abc import Callable
from typing import Final

import msgspec

from anvilthread.clock import Clock
from anvilthread.flows.flow_counters import FlowCounters
from anvilthread.flows.flow_key import FlowKey, flow_name
from anvilthread.flows.flow_network import FlowNetwork
from anvilthread.flows.flow_packet import FlowPacket
from anvilthread.flows.flow_packet_codec import FlowPacketCodec
from anvilthread.flows.flow_search import FlowSearch
from anvilthread.flows.known_node import KnownNode
from anvilthread.flows.offer import Offer
from anvilthread.flows.packet_messages import Forward
from anvilthread.flows.roster import Roster
from anvilthread.flows.search_messages import Absent, Ask, Held, NotHeld
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.log import Log

#: A target returns a packet of a flow that it does not hold at once. A packet
#: not returned within this time has been accepted.
_OFFER_TIMEOUT_MS: Final = 40

#: Timeout of a search: less than the 200 ms after which the client
#: retransmits, which starts another search.
_SEARCH_TIMEOUT_MS: Final = 180

#: Maximum age of an agent's last message at which it is expected to answer.
_RESPONSIVE_MS: Final = 1500

#: Number of flows offered, and time since the first offer, after which a
#: target that has sent nothing counts as absent: it would have returned the
#: packets of flows that it does not hold, and answered the others.
_MIN_UNANSWERED_OFFERS: Final = 5
_MIN_UNANSWERED_MS: Final = 500

_MAX_MARK: Final = 0xFFFFFFFF

#: Receives a flow that the local target was found to hold, and the host of
#: its balancer.
RecoveryListener = Callable[[FlowKey, str], None]


class HolderSearch:
    """Asks the other agents of the service and, if necessary, the local target.

    The target is asked by offering it a packet of the flow: it returns packets
    of flows that it does not hold.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        codec: Codec of the packets.
        roster: Other agents of the service.
        target: State of the local target.
        on_recovery: Called with each flow that the local target is found to
            hold.
        log: Receives one line per decision.
        counters: Counts of decisions.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_counters',
        '_log',
        '_marks',
        '_network',
        '_offers',
        '_on_recovery',
        '_roster',
        '_searches',
        '_target',
        '_unanswered_offers',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        roster: Roster,
        target: TargetWatch,
        on_recovery: RecoveryListener,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._codec = codec
        self._roster = roster
        self._target = target
        self._on_recovery = on_recovery
        self._log = log
        self._counters = counters
        self._searches: dict[FlowKey, FlowSearch] = {}
        self._offers: dict[int, Offer] = {}
        self._marks = itertools.count(1)
        #: Time of the first offer of each flow that the target, which has
        #: sent nothing so far, has not returned.
        self._unanswered_offers: dict[FlowKey, int] = {}

    def start(
        self,
        balancer: str,
        packet: FlowPacket,
        *,
        asks_local_target: bool,
        agents: int = 0,
    ) -> None:
        """Starts the search for the holder of a flow.

        Args:
            balancer: Host of the balancer that is sent the result.
            packet: A packet of the flow.
            asks_local_target: Whether the local target may hold the
                flow.
            agents: Number of agents of the service that the balancer knows,
                including this one. A search that asks fewer is incomplete and
                does not show that the flow has no holder.
        """
        search = self._searches.get(packet.key)
        if search is not None:
            search.queue_packet(packet.content)
            return
        local_node = self._roster.local_node
        now_ms = self._clock.now_ms()
        others = self._roster.present_agents(local_node.service)
        asked = [node.host for node in others if _is_responsive(node, now_ms)]
        search = FlowSearch(
            balancer=balancer,
            asked=[*asked, local_node.host] if asks_local_target else asked,
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
            offers_own=asks_local_target,
        )
        ask = Ask(
            packet=packet.content, service=local_node.service, balancer=balancer
        )
        for host in asked:
            self._network.send_to_node(host, ask)
        if asks_local_target:
            self.offer(local_node.host, packet, balancer)
        self._finish_if_answered(packet.key, search)

    def offer(self, finder: str, packet: FlowPacket, balancer: str) -> None:
        """Offers a packet to the target to find out whether it holds the flow.

        Args:
            finder: Host of the agent that searches for the holder.
            packet: A packet of the flow.
            balancer: Host of the balancer that forwards the flow.
        """
        mark = next(self._marks) & _MAX_MARK
        self._offers[mark] = Offer(
            key=packet.key,
            finder=finder,
            balancer=balancer,
            started_ms=self._clock.now_ms(),
            was_alive=self._target.is_alive,
        )
        self._network.send_to_target(self._codec.marked(packet.content, mark))
        self._event('flow_offered', packet.key, finder=finder)

    def on_bounced(self, mark: int) -> bool:
        """Handles a packet that the target has returned.

        Args:
            mark: Mark of the packet.

        Returns:
            Whether the packet was an offer.
        """
        offer = self._offers.pop(mark, None)
        if offer is None:
            return False
        self._deny(offer)
        return True

    def on_reset(self, key: FlowKey) -> None:
        """Handles a reset by the target for a flow that it does not hold."""
        for mark, offer in list(self._offers.items()):
            if offer.key == key:
                self._offers.pop(mark)
                self._deny(offer)

    def on_held(self, host: str, message: Held) -> None:
        """Ends a search, and sends the queued packets to the holder."""
        search = self._searches.pop(FlowKey(message.key), None)
        if search is None:
            return
        for packet in search.packets:
            forward = Forward(packet=packet, service=message.service)
            self._network.send_to_node(host, forward)

    def on_not_held(self, host: str, message: NotHeld) -> None:
        """Handles the answer of an agent that does not hold a flow."""
        key = FlowKey(message.key)
        search = self._searches.get(key)
        if search is not None:
            search.record_denial(host)
            self._finish_if_answered(key, search)

    def tick(self) -> None:
        """Ends offers and searches that have timed out."""
        now_ms = self._clock.now_ms()
        for mark, offer in list(self._offers.items()):
            if now_ms - offer.started_ms <= _OFFER_TIMEOUT_MS:
                continue
            if offer.is_due:
                self._offers.pop(mark)
                self._resolve(offer)
            else:
                # After a pause of this process, packets that the target has
                # returned are read between this tick and the next one.
                self._offers[mark] = msgspec.structs.replace(offer, is_due=True)
        for key, search in list(self._searches.items()):
            if now_ms - search.started_ms > _SEARCH_TIMEOUT_MS:
                self._searches.pop(key)
                self._counters.add('searches_timed_out')

    def _deny(self, offer: Offer) -> None:
        message = NotHeld(key=offer.key)
        local_host = self._roster.local_node.host
        if offer.finder == local_host:
            self.on_not_held(local_host, message)
        else:
            self._network.send_to_node(offer.finder, message)

    def _resolve(self, offer: Offer) -> None:
        """Resolves an offer whose packet the target has not returned."""
        if offer.was_alive and self._target.is_alive:
            self._confirm_held(offer)
            return
        self._counters.add('offers_unanswered')
        if self._target.is_overdue or self._is_target_absent(offer):
            self._deny(offer)

    def _is_target_absent(self, offer: Offer) -> bool:
        if self._target.was_seen:
            return False
        self._unanswered_offers.setdefault(offer.key, offer.started_ms)
        if len(self._unanswered_offers) < _MIN_UNANSWERED_OFFERS:
            return False
        since_ms = min(self._unanswered_offers.values())
        return self._clock.now_ms() - since_ms >= _MIN_UNANSWERED_MS

    def _confirm_held(self, offer: Offer) -> None:
        """Reports that the target holds an offered flow."""
        self._on_recovery(offer.key, offer.balancer)
        local_node = self._roster.local_node
        held = Held(key=offer.key, service=local_node.service)
        self._network.send_to_node(offer.balancer, held)
        if offer.finder == local_node.host:
            self.on_held(local_node.host, held)
        else:
            self._network.send_to_node(offer.finder, held)
        self._event('flow_recovered', offer.key, balancer=offer.balancer)

    def _finish_if_answered(self, key: FlowKey, search: FlowSearch) -> None:
        if not search.is_answered:
            return
        self._searches.pop(key, None)
        if search.proves_absence:
            absent = Absent(key=key, acknowledged=search.acknowledged)
            self._network.send_to_node(search.balancer, absent)
        else:
            self._counters.add('searches_incomplete')

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)


def _is_responsive(node: KnownNode, now_ms: int) -> bool:
    return (
        node.last_seen_ms is not None
        and now_ms - node.last_seen_ms <= _RESPONSIVE_MS
    )
