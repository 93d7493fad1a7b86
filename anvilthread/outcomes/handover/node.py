"""The exchange of packets between agents."""

import itertools
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from typing import Final

import gevent
import msgspec

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.decoding import DECODE_ERRORS
from anvilthread.outcomes.agent_identity import AgentIdentity
from anvilthread.outcomes.handover.channel import Channel
from anvilthread.outcomes.handover.link import Link
from anvilthread.outcomes.handover.messages import Offer
from anvilthread.outcomes.handover.packet import Packet
from anvilthread.transport import Received, Transport

#: Ended handovers that are remembered, so that late duplicates of their offers
#: are ignored without an answer.
_MAX_ENDED_HANDOVERS: Final = 4096
_TOKEN_COUNTER_BITS: Final = 32

# Address of the other agent, whether that agent offers, and the packet's
# incarnation and number.
_HandoverKey = tuple[Address, bool, int, int]


class Node:
    """Routes packets to the channels of one agent.

    Args:
        clock: Clock of the channels.
        transport: Carries the packets.
        identity: This agent.
        channels: Maximum number of channels that other agents may open.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        transport: Transport,
        identity: AgentIdentity,
        channels: int,
    ) -> None:
        self._clock = clock
        self._transport = transport
        self._identity = identity
        self._max_channels = channels
        self._channels: dict[_HandoverKey, Channel] = {}
        self._ended: OrderedDict[_HandoverKey, None] = OrderedDict()
        self._numbers = itertools.count(1)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Packet)

    def connect(self, address: Address) -> Channel:
        """Opens a channel for one offer to another agent."""
        number = next(self._numbers)
        incarnation = self._identity.incarnation
        template = Packet(
            offering=True, incarnation=incarnation, number=number, token=0
        )
        return self._open((address, False, incarnation, number), template)

    def serve(self, on_offer: Callable[[Channel, Offer], None]) -> None:
        """Receives packets until the task is killed.

        Args:
            on_offer: Called in a separate greenlet for each new offer.
        """
        while True:
            received = self._transport.receive()
            try:
                packet = self._decoder.decode(received.payload)
            except DECODE_ERRORS:
                # The sender runs another version; its messages time out there.
                continue
            self._route(received, packet, on_offer)

    def _route(
        self,
        received: Received,
        packet: Packet,
        on_offer: Callable[[Channel, Offer], None],
    ) -> None:
        sender = received.sender
        key = (sender, packet.offering, packet.incarnation, packet.number)
        channel = self._channels.get(key)
        if channel is None:
            self._handle_unknown(key, packet, on_offer)
        elif _same_token(packet, channel):
            channel.accept(packet)
        elif not packet.gone:
            self._report_unknown(sender, packet)

    def _handle_unknown(
        self,
        key: _HandoverKey,
        packet: Packet,
        on_offer: Callable[[Channel, Offer], None],
    ) -> None:
        if packet.gone:
            return
        if not _is_new(packet):
            self._report_unknown(key[0], packet)
        elif (
            key not in self._ended and len(self._channels) < self._max_channels
        ):
            channel = self._accept(key, packet)
            gevent.spawn(on_offer, channel, packet.message)

    def _accept(self, key: _HandoverKey, packet: Packet) -> Channel:
        token_base = self._identity.incarnation << _TOKEN_COUNTER_BITS
        template = Packet(
            offering=False,
            incarnation=packet.incarnation,
            number=packet.number,
            token=token_base + next(self._numbers),
        )
        channel = self._open(key, template)
        channel.accept(packet)
        # The offer is passed to ``on_offer`` together with the channel.
        channel.get(0)
        return channel

    def _open(self, key: _HandoverKey, template: Packet) -> Channel:
        link = Link(
            clock=self._clock,
            template=template,
            transmit=partial(self._transmit, key[0]),
        )
        channel = Channel(clock=self._clock, link=link)
        self._channels[key] = channel
        gevent.spawn(self._maintain, key, channel)
        return channel

    def _maintain(self, key: _HandoverKey, channel: Channel) -> None:
        channel.maintain()
        self._channels.pop(key, None)
        self._ended[key] = None
        if len(self._ended) > _MAX_ENDED_HANDOVERS:
            self._ended.popitem(last=False)

    def _report_unknown(self, address: Address, packet: Packet) -> None:
        """Notifies an agent that this node does not know its handover."""
        gone = Packet(
            offering=not packet.offering,
            incarnation=packet.incarnation,
            number=packet.number,
            token=packet.token,
            gone=True,
        )
        self._transmit(address, gone)

    def _transmit(self, address: Address, packet: Packet) -> None:
        self._transport.send(address, self._encoder.encode(packet))


def _same_token(packet: Packet, channel: Channel) -> bool:
    return 0 in {packet.token, channel.token} or packet.token == channel.token


def _is_new(packet: Packet) -> bool:
    first = packet.offering and packet.seq == 0 and not packet.token
    return first and isinstance(packet.message, Offer)
