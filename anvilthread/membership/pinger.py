"""Requests that show whether a member is up."""

from anvilthread.address import Address
from anvilthread.membership.exchange import Exchange
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.probe_messages import (
    Ack,
    IndirectAck,
    IndirectPing,
    Ping,
)
from anvilthread.membership.table_updater import suspicion_of
from anvilthread.membership.wire import Change


class Pinger:
    """Sends pings and takes in the answers.

    Args:
        context: Shared parts of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def ping(self, member: Member) -> Exchange:
        """Asks a member for an answer, and tells it if it is suspected."""
        context = self._context
        exchange = context.exchanges.open(member)
        context.outbox.send(
            member.control_address,
            Ping(sequence=exchange.sequence),
            first=self.claims_about(member.control_address),
        )
        return exchange

    def ask_helper(self, helper: Member, principal: Exchange) -> None:
        """Asks a member to probe the peer of another exchange."""
        context = self._context
        request = context.exchanges.open(helper, principal=principal)
        message = IndirectPing(
            sequence=request.sequence,
            target=principal.peer.control_address.pack(),
        )
        context.outbox.send(helper.control_address, message)

    def claims_about(self, address: Address) -> tuple[Change, ...]:
        """Returns what a member has to hear in order to refute it."""
        context = self._context
        member = context.table.get(address)
        if member is None:
            return ()
        if context.suspicions.get(address) is not None:
            own_address = context.own.member.control_address
            return (suspicion_of(member, own_address),)
        return () if member.is_live else (Change.of(member),)

    def timeout_ms(self, member: Member) -> float:
        """Returns how long to wait for a direct answer."""
        context = self._context
        round_trip_ms = context.contact.round_trip_ms(member.site)
        timeout_ms = context.settings.ack_timeout_ms + 2 * round_trip_ms
        return timeout_ms * context.health.multiplier

    def on_ack(self, sender: Address, message: Ack | IndirectAck) -> None:
        """Takes the answer of a probed member or of a helper."""
        exchange = self._context.exchanges.close(message.sequence, sender)
        if exchange is None:
            return
        exchange.answered.set()
        self._note_contact(exchange)
        principal = exchange.principal
        if isinstance(message, IndirectAck) and principal is not None:
            if message.reached:
                principal.answered.set()

    def _note_contact(self, exchange: Exchange) -> None:
        context = self._context
        member = context.table.get(exchange.peer.control_address)
        if member is None or not member.is_live:
            return
        context.contact.note(exchange)
        context.table.sites.change(member.site, reachable=True)
        suspicion = context.suspicions.get(member.control_address)
        if suspicion is not None and suspicion.since_ms <= exchange.sent_ms:
            suspicion.restart(context.clock.now_ms())
