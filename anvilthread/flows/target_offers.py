"""Packets that an agent offers to its target."""

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
from anvilthread.flows.offer import Offer
from anvilthread.flows.search_messages import Held, NotHeld
from anvilthread.flows.target_watch import TargetWatch
from anvilthread.telemetry.log import Log

#: A running target returns a packet of a flow that it does not hold at once,
#: at the latest within this time.
_OFFER_TIMEOUT_MS: Final = 40

#: Number of flows offered, and time since the first offer, after which a
#: target that has sent nothing counts as absent: it would have returned the
#: packets of flows that it does not hold, and answered the others.
_MIN_UNANSWERED_OFFERS: Final = 5
_MIN_UNANSWERED_MS: Final = 500

#: Offers beyond which none waits until the target is seen again, and the longest
#: wait: a client gives up within some seconds.
_MAX_OPEN_OFFERS: Final = 500
_MAX_UNDECIDED_MS: Final = 3000

_MAX_MARK: Final = 0xFFFFFFFF

#: Receives a flow that the local target was found to hold, the host of its
#: balancer, and whether this is assumed, without a packet of the flow from the
#: target.
RecoveryListener = Callable[[FlowKey, str, bool], None]


class TargetOffers:
    """Finds out which flows the local target holds by offering it packets.

    The target returns packets of flows that it does not hold. One that has
    crashed returns nothing either, so a packet that was not returned counts as
    accepted only once the target has been seen after that.

    Args:
        clock: Source of time.
        network: Sends messages and packets.
        codec: Codec of the packets.
        service: Service of the target.
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
        '_decided_ms',
        '_log',
        '_marks',
        '_marks_by_key',
        '_network',
        '_offers',
        '_on_recovery',
        '_service',
        '_target',
        '_unanswered_keys',
        '_unanswered_since_ms',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        network: FlowNetwork,
        codec: FlowPacketCodec,
        service: str,
        target: TargetWatch,
        on_recovery: RecoveryListener,
        log: Log,
        counters: FlowCounters,
    ) -> None:
        self._clock = clock
        self._network = network
        self._codec = codec
        self._service = service
        self._target = target
        self._on_recovery = on_recovery
        self._log = log
        self._counters = counters
        #: Open offers by mark, and their marks by flow.
        self._offers: dict[int, Offer] = {}
        self._marks_by_key: dict[FlowKey, list[int]] = {}
        self._marks = itertools.count(1)
        #: Flows of the offers that the target, which has sent nothing so far,
        #: has not returned, and the time of the first of these offers.
        self._unanswered_keys: set[FlowKey] = set()
        self._unanswered_since_ms = 0
        self._decided_ms = clock.now_ms()

    def offer(self, packet: FlowPacket, balancer: str) -> None:
        """Offers a packet to the target to find out whether it holds the flow.

        Args:
            packet: A packet of the flow.
            balancer: Host of the balancer that is sent the result.
        """
        mark = next(self._marks) & _MAX_MARK
        self._offers[mark] = Offer(
            packet=packet,
            balancer=balancer,
            started_ms=self._clock.now_ms(),
            was_alive=self._target.is_alive,
        )
        self._marks_by_key.setdefault(packet.key, []).append(mark)
        self._network.send_to_target(self._codec.marked(packet.content, mark))
        self._event('flow_offered', packet.key, balancer=balancer)

    def on_bounced(self, mark: int) -> bool:
        """Handles a packet that the target has returned.

        Args:
            mark: Mark of the packet.

        Returns:
            Whether the packet was an offer.
        """
        offer = self._close(mark)
        if offer is None:
            return False
        self._deny(offer)
        return True

    def on_reset(self, key: FlowKey) -> None:
        """Handles a reset by the target for a flow that it does not hold."""
        for offer in self._take_offers(key):
            self._deny(offer)

    def on_answer(self, key: FlowKey) -> None:
        """Handles a packet by which the target shows that it holds a flow."""
        for offer in self._take_offers(key):
            self._confirm_held(offer, is_assumed=False)

    def tick(self) -> None:
        """Decides the offers that have timed out, if possible by now."""
        now_ms = self._clock.now_ms()
        can_decide = self._can_decide(now_ms)
        for mark, offer in list(self._offers.items()):
            if now_ms - offer.started_ms <= _OFFER_TIMEOUT_MS:
                continue
            if offer.kept_since_ms is None:
                self._time_out(mark, offer, now_ms)
            elif can_decide or now_ms - offer.started_ms > _MAX_UNDECIDED_MS:
                self._resolve(mark, offer, now_ms)

    def _can_decide(self, now_ms: int) -> bool:
        """Whether something has changed since the last tick."""
        since_ms, self._decided_ms = self._decided_ms, now_ms
        return self._target.is_seen_since(since_ms) or self._is_target_gone

    def _time_out(self, mark: int, offer: Offer, now_ms: int) -> None:
        """Records that the target has not returned a packet in time."""
        if not offer.is_due:
            # After a pause of this process, packets that the target has
            # returned are read between this tick and the next one.
            self._offers[mark] = msgspec.structs.replace(offer, is_due=True)
            return
        if not self._target.was_seen:
            if not self._unanswered_keys:
                self._unanswered_since_ms = offer.started_ms
            self._unanswered_keys.add(offer.packet.key)
        kept = msgspec.structs.replace(offer, kept_since_ms=now_ms)
        self._offers[mark] = kept
        self._resolve(mark, kept, now_ms)

    def _close(self, mark: int) -> Offer | None:
        """Removes and returns an open offer; None if there is none."""
        offer = self._offers.pop(mark, None)
        if offer is not None:
            marks = self._marks_by_key[offer.packet.key]
            marks.remove(mark)
            if not marks:
                self._marks_by_key.pop(offer.packet.key)
        return offer

    def _take_offers(self, key: FlowKey) -> list[Offer]:
        """Removes and returns the open offers of a flow."""
        marks = self._marks_by_key.pop(key, [])
        return [self._offers.pop(mark) for mark in marks]

    def _deny(self, offer: Offer) -> None:
        self._network.send_to_node(
            offer.balancer, NotHeld(key=offer.packet.key)
        )

    def _resolve(self, mark: int, offer: Offer, now_ms: int) -> None:
        """Decides an offer whose packet the target has not returned.

        It stays open for some time if nothing is known of the target since.
        """
        if self._is_seen_after(offer) and not self._is_target_new:
            self._close(mark)
            self._resolve_kept(offer)
        elif self._is_target_gone:
            self._close(mark)
            self._deny(offer)
        elif (
            now_ms - offer.started_ms > _MAX_UNDECIDED_MS
            or len(self._offers) > _MAX_OPEN_OFFERS
        ):
            self._close(mark)
            self._counters.add('offers_dropped')

    def _resolve_kept(self, offer: Offer) -> None:
        """Decides an offer that a target that runs has not returned."""
        if offer.was_alive:
            self._confirm_held(offer, is_assumed=True)
        else:
            # The target may have started after the offer.
            self.offer(offer.packet, offer.balancer)

    @property
    def _is_target_new(self) -> bool:
        """Whether the target holds no flow from before this process."""
        return self._target.saw_target_start or self._target.is_absent

    @property
    def _is_target_gone(self) -> bool:
        """Whether a target that is not seen again holds no offered flow."""
        return (
            self._is_target_new
            or self._target.is_overdue
            or self._returns_nothing
        )

    @property
    def _returns_nothing(self) -> bool:
        """Whether a target that has sent nothing so far has kept too much."""
        if self._target.was_seen:
            return False
        if len(self._unanswered_keys) < _MIN_UNANSWERED_OFFERS:
            return False
        silence_ms = self._clock.now_ms() - self._unanswered_since_ms
        return silence_ms >= _MIN_UNANSWERED_MS

    def _is_seen_after(self, offer: Offer) -> bool:
        """Whether the target has shown that it ran after keeping an offer.

        What is read before may have been sent before a crash.
        """
        since_ms = offer.kept_since_ms
        return since_ms is not None and self._target.is_seen_since(since_ms + 1)

    def _confirm_held(self, offer: Offer, *, is_assumed: bool) -> None:
        """Reports that the target holds an offered flow."""
        key = offer.packet.key
        self._on_recovery(key, offer.balancer, is_assumed)
        held = Held(key=key, service=self._service, is_assumed=is_assumed)
        self._network.send_to_node(offer.balancer, held)
        self._event(
            'flow_recovered',
            key,
            balancer=offer.balancer,
            is_assumed=is_assumed,
        )

    def _event(self, name: str, key: FlowKey, **fields: object) -> None:
        self._counters.add(name)
        self._log.event(name, flow=flow_name(key), **fields)
