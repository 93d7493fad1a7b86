"""Offers of one request to several agents."""

from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.admission import Place
from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.messages import Offer, Reserved

_DAY_MS: Final = 86_400_000


class OpenOffer:
    """One offer and its answer.

    Args:
        agent: The other agent.
        channel: Channel of the offer.
        wake: Set when the agent has answered.
    """

    __slots__ = ('_agent', '_channel', '_wake', 'pending', 'reserved')

    def __init__(
        self, *, agent: Address, channel: Channel, wake: Event
    ) -> None:
        self._agent = agent
        self._channel = channel
        self._wake = wake
        self.pending = True
        self.reserved = False

    @property
    def agent(self) -> Address:
        """The other agent."""
        return self._agent

    @property
    def channel(self) -> Channel:
        """Channel of the offer."""
        return self._channel

    def send(self, offer: Offer) -> None:
        """Sends the offer and waits for its answer, in a task."""
        try:
            self._channel.put(offer)
            message = self._channel.get(_DAY_MS)
        except ChannelLostError:
            message = None
        self.reserved = isinstance(message, Reserved)
        self.pending = self.reserved
        if not self.reserved:
            self._channel.close()
        self._wake.set()


class OpenOffers:
    """All offers of one request at a time.

    Args:
        offers: The offers.
        message: What each agent is sent.
        place: Makes a place from an offer that was answered with a place.
    """

    __slots__ = ('_offers', '_place', '_tasks')

    def __init__(
        self,
        *,
        offers: list[OpenOffer],
        message: Offer,
        place: Callable[[OpenOffer], Place],
    ) -> None:
        self._offers = offers
        self._place = place
        self._tasks = [gevent.spawn(offer.send, message) for offer in offers]

    @property
    def pending(self) -> bool:
        """Whether an agent has yet to refuse."""
        return any(offer.pending for offer in self._offers)

    def take(self) -> Place | None:
        """Returns the first reserved place, if there is one."""
        for offer in self._offers:
            if offer.reserved:
                self._offers.remove(offer)
                return self._place(offer)
        return None

    def close(self) -> None:
        """Withdraws every offer that was not taken."""
        gevent.killall(self._tasks, block=False)
        for offer in self._offers:
            offer.channel.cancel()
        self._offers.clear()
