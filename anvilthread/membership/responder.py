"""Answers to pings and indirect pings."""

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
    """Answers pings, and pings members on behalf of peers.

    Args:
        context: Shared components of the node.
        pinger: Sends the pings on behalf of peers.
    """

    __slots__ = ('_context', '_pinger')

    def __init__(self, context: NodeContext, pinger: Pinger) -> None:
        self._context = context
        self._pinger = pinger

    def on_ping(self, sender: Address, message: Ping) -> None:
        """Answers a ping, with any claim that the sender has to refute."""
        context = self._context
        claims = self._pinger.claims_about(sender)
        member = context.table.get(sender)
        if member is not None and member.incarnation > message.incarnation:
            # An earlier process at this address had a higher incarnation.
            claims = (Change.of(member),)
        ack = Ack(sequence=message.sequence)
        context.outbox.send(sender, ack, required=claims)
        if member is not None and member.site not in context.table.sites:
            context.contact.request_check(member.site)

    def on_indirect_ping(self, sender: Address, message: IndirectPing) -> None:
        """Pings a member on behalf of a peer, in a separate task."""
        self._context.tasks.spawn(self._probe_for_peer, sender, message)

    def _probe_for_peer(self, sender: Address, message: IndirectPing) -> None:
        context = self._context
        member = context.table.get(Address.unpack(message.target))
        reached = False
        if member is not None:
            request = self._pinger.ping(member)
            timeout_ms = self._pinger.timeout_ms(member)
            reached = context.clock.wait(request.answered, timeout_ms)
        reply = IndirectAck(sequence=message.sequence, reached=reached)
        known = () if member is None else self._known_death(member)
        context.outbox.send(sender, reply, required=known)

    def _known_death(self, member: Member) -> tuple[Change, ...]:
        """Returns the death of a member that a peer still probes, if known."""
        latest = self._context.table.get(member.control_address)
        if latest is None or latest.is_live:
            return ()
        return (Change.of(latest),)
