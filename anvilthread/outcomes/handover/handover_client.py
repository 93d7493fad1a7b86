"""Hands requests over to other agents."""

from collections.abc import Collection
from random import Random

from gevent.event import Event

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.outcomes import key_refusals
from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.handover_settings import HandoverSettings
from anvilthread.outcomes.handover.messages import Offer, Refused, Reserved
from anvilthread.outcomes.handover.node import Node
from anvilthread.outcomes.handover.open_offers import OpenOffer, OpenOffers
from anvilthread.outcomes.handover.peer_place import PeerPlace
from anvilthread.outcomes.handover.peers import Peers
from anvilthread.outcomes.outcome import Outcome
from anvilthread.outcomes.request import Request
from anvilthread.outcomes.single_answer import SingleAnswer


class HandoverClient:
    """Offers requests to the least busy agents of their service.

    Args:
        clock: Clock of the deadlines.
        random: Breaks ties, so that agents do not all choose the same peer.
        node: Opens channels to other agents.
        peers: The other agents.
        settings: Limits.
    """

    __slots__ = ('_clock', '_node', '_peers', '_random', '_settings')

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        node: Node,
        peers: Peers,
        settings: HandoverSettings,
    ) -> None:
        self._clock = clock
        self._random = random
        self._node = node
        self._peers = peers
        self._settings = settings

    def offer(
        self, request: Request, excluded: Collection[Address], wake: Event
    ) -> OpenOffers:
        """Offers a request, without blocking.

        Args:
            request: The request; its body is not sent before it runs.
            excluded: Agents that must not get the request again.
            wake: Set whenever an agent has reserved or refused.

        Returns:
            The open offers.
        """
        return OpenOffers(
            clock=self._clock,
            agents=self._choose_agents(request.service, excluded),
            settings=self._settings,
            connect=lambda agent: OpenOffer(
                agent=agent, channel=self._node.connect(agent), wake=wake
            ),
            message=lambda: self._message(request),
            place=self._place,
        )

    def forward(
        self, owner: Address, request: Request, answer: SingleAnswer
    ) -> Outcome:
        """Forwards a request to the owner of its execution key."""
        channel = self._node.connect(owner)
        try:
            return self._offer_to_owner(channel, owner, request, answer)
        except ChannelLostError:
            # This attempt did not run, but an earlier one may have.
            return key_refusals.owner_unreachable()
        finally:
            channel.cancel()

    def _offer_to_owner(
        self,
        channel: Channel,
        owner: Address,
        request: Request,
        answer: SingleAnswer,
    ) -> Outcome:
        offer = self._message(request, decide=True)
        channel.put(offer)
        message = channel.get(offer.left_ms, request.cancelled)
        if isinstance(message, Refused):
            return message.outcome
        if not isinstance(message, Reserved):
            return key_refusals.owner_unreachable()
        place = PeerPlace(
            clock=self._clock,
            agent=owner,
            channel=channel,
            chunk_bytes=self._settings.chunk_bytes,
        )
        return place.run_without_deadline_check(request, answer)

    def _message(self, request: Request, *, decide: bool = False) -> Offer:
        left_ms = request.deadline_ms - self._clock.now_ms()
        return Offer(left_ms, request.stream, decide)

    def _choose_agents(
        self, service: int, excluded: Collection[Address]
    ) -> list[Address]:
        candidates = [
            peer
            for peer in self._peers.list_peers(service)
            if peer.identity.address not in excluded
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda peer: peer.utilisation)
        chosen = candidates[: self._settings.fanout]
        return [peer.identity.address for peer in chosen]

    def _place(self, offer: OpenOffer) -> PeerPlace:
        return PeerPlace(
            clock=self._clock,
            agent=offer.agent,
            channel=offer.channel,
            chunk_bytes=self._settings.chunk_bytes,
        )
