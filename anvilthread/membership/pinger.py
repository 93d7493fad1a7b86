"""Pings, indirect pings and their answers."""

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pending_request import PendingRequest
from anvilthread.membership.probe_messages import (
    Ack,
    IndirectAck,
    IndirectPing,
    Ping,
)
from anvilthread.membership.table_updater import suspect_change
from anvilthread.membership.wire import Change


class Pinger:
    """Sends pings and handles the answers.

    Args:
        context: Shared components of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def ping(self, member: Member) -> PendingRequest:
        """Pings a member, with any claim that it has to refute."""
        context = self._context
        request = context.pending_requests.open(member)
        context.outbox.send(
            member.control_address,
            Ping(sequence=request.sequence),
            required=self.claims_about(member.control_address),
        )
        return request

    def request_indirect_ping(
        self, helper: Member, original: PendingRequest
    ) -> None:
        """Asks a helper to ping the peer of an unanswered ping."""
        context = self._context
        request = context.pending_requests.open(helper, original=original)
        message = IndirectPing(
            sequence=request.sequence,
            target=original.peer.control_address.pack(),
        )
        context.outbox.send(helper.control_address, message)

    def claims_about(self, address: Address) -> tuple[Change, ...]:
        """Returns the suspicion or death that a member has to refute."""
        context = self._context
        member = context.table.get(address)
        if member is None:
            return ()
        if context.suspicions.get(address) is not None:
            local_address = context.local.member.control_address
            return (suspect_change(member, local_address),)
        return () if member.is_live else (Change.of(member),)

    def timeout_ms(self, member: Member) -> float:
        """Returns the timeout of a direct ping."""
        context = self._context
        round_trip_ms = context.contact.round_trip_ms(member.site)
        timeout_ms = context.settings.ack_timeout_ms + 2 * round_trip_ms
        return timeout_ms * context.health.multiplier

    def on_ack(self, sender: Address, message: Ack | IndirectAck) -> None:
        """Handles the answer of a pinged member or of a helper."""
        request = self._context.pending_requests.match_answer(
            message.sequence, sender
        )
        if request is None:
            return
        request.answered.set()
        self._record_contact(request)
        original = request.original
        if isinstance(message, IndirectAck) and original is not None:
            if message.reached:
                original.answered.set()

    def _record_contact(self, request: PendingRequest) -> None:
        context = self._context
        member = context.table.get(request.peer.control_address)
        if member is None or not member.is_live:
            return
        context.contact.record_answer(request)
        context.table.sites.set_reachable(member.site, reachable=True)
        suspicion = context.suspicions.get(member.control_address)
        if suspicion is not None and suspicion.since_ms <= request.sent_ms:
            suspicion.restart(context.clock.now_ms())
