"""Answers to the probes of peers."""

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.probe_messages import (
    Ack,
    IndirectAck,
    IndirectPing,
    Ping,
)
from anvilthread.membership.wire import Change


class Responder:
    """Answers pings and probes members on behalf of peers.

    Args:
        context: Shared parts of the node.
        pinger: Sends the pings on behalf of peers.
    """

    __slots__ = ('_context', '_pinger')

    def __init__(self, context: NodeContext, pinger: Pinger) -> None:
        self._context = context
        self._pinger = pinger

    def on_ping(self, sender: Address, message: Ping) -> None:
        """Answers a probe, and tells the sender what it has to refute."""
        context = self._context
        claims = self._pinger.claims_about(sender)
        member = context.table.get(sender)
        if member is not None and member.incarnation > message.incarnation:
            # The address was used by a later incarnation before.
            claims = (Change.of(member),)
        ack = Ack(sequence=message.sequence)
        context.outbox.send(sender, ack, first=claims)
        if member is not None and member.site not in context.table.sites:
            context.contact.want(member.site)

    def on_indirect_ping(self, sender: Address, message: IndirectPing) -> None:
        """Probes a member on behalf of a peer, in a task of its own."""
        self._context.tasks.spawn(self._help, sender, message)

    def _help(self, sender: Address, message: IndirectPing) -> None:
        context = self._context
        member = context.table.get(Address.unpack(message.target))
        reached = False
        if member is not None:
            exchange = self._pinger.ping(member)
            timeout_ms = self._pinger.timeout_ms(member)
            reached = context.clock.wait(exchange.answered, timeout_ms)
        reply = IndirectAck(sequence=message.sequence, reached=reached)
        known = () if member is None else self._known_death(member)
        context.outbox.send(sender, reply, first=known)

    def _known_death(self, member: Member) -> tuple[Change, ...]:
        """Returns what a peer that still probes a dead member has missed."""
        latest = self._context.table.get(member.control_address)
        if latest is None or latest.is_live:
            return ()
        return (Change.of(latest),)
