"""Offers of one request to several agents."""

from collections.abc import Callable, Sequence
from typing import Final

import gevent
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.admission import Place
from anvilthread.clock import Clock
from anvilthread.outcomes.handover.channel import Channel, ChannelLostError
from anvilthread.outcomes.handover.handover_settings import HandoverSettings
from anvilthread.outcomes.handover.messages import Offer, Reserved

#: 1 day, in effect no timeout.
_MAX_WAIT_MS: Final = 86_400_000


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
        """Sends the offer and waits for its answer; runs in a greenlet."""
        try:
            self._channel.put(offer)
            message = self._channel.get(_MAX_WAIT_MS)
        except ChannelLostError:
            message = None
        self.reserved = isinstance(message, Reserved)
        self.pending = self.reserved
        if not self.reserved:
            self._channel.close()
        self._wake.set()


class OpenOffers:
    """All open offers of one request.

    The first agents get an offer immediately. The others get one only if no
    place was taken after a delay, because most requests do not need them.

    Args:
        clock: Clock of the delay.
        agents: The agents, best first.
        settings: Number of agents that get an offer immediately; the delay.
        connect: Opens an offer to an agent.
        message: Makes the message for an offer.
        place: Makes a place from an offer whose agent has reserved one.
    """

    __slots__ = (
        '_connect',
        '_message',
        '_offers',
        '_place',
        '_remaining',
        '_tasks',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        agents: Sequence[Address],
        settings: HandoverSettings,
        connect: Callable[[Address], OpenOffer],
        message: Callable[[], Offer],
        place: Callable[[OpenOffer], Place],
    ) -> None:
        self._connect = connect
        self._message = message
        self._place = place
        self._offers: list[OpenOffer] = []
        self._tasks: list[gevent.Greenlet] = []
        self._remaining = agents[settings.first_fanout :]
        self._send(agents[: settings.first_fanout])
        if self._remaining:
            task = gevent.spawn(self._send_remaining, clock, settings.widen_ms)
            self._tasks.append(task)

    @property
    def pending(self) -> bool:
        """Whether an agent has yet to get an offer or to refuse it."""
        return bool(self._remaining) or any(
            offer.pending for offer in self._offers
        )

    @property
    def asked(self) -> bool:
        """Whether an offer was sent to any agent."""
        return bool(self._offers)

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
        self._remaining = ()
        for offer in self._offers:
            offer.channel.cancel()
        self._offers.clear()

    def _send_remaining(self, clock: Clock, delay_ms: int) -> None:
        clock.sleep_ms(delay_ms)
        remaining = self._remaining
        self._remaining = ()
        self._send(remaining)

    def _send(self, agents: Sequence[Address]) -> None:
        for agent in agents:
            offer = self._connect(agent)
            self._offers.append(offer)
            self._tasks.append(gevent.spawn(offer.send, self._message()))
