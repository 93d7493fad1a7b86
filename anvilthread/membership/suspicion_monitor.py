"""Declares suspected members dead when their suspicion times out."""

from anvilthread.membership.failure_locator import FailureLocator
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.suspicion import Suspicion
from anvilthread.membership.sync_messages import SyncRecords


class SuspicionMonitor:
    """Probes suspected members until they answer or are declared dead.

    Args:
        context: Shared components of the node.
        pinger: Sends the pings.
        failure_locator: Distinguishes a failed member from a lost site.
    """

    __slots__ = ('_context', '_failure_locator', '_pinger')

    def __init__(
        self,
        context: NodeContext,
        pinger: Pinger,
        failure_locator: FailureLocator,
    ) -> None:
        self._context = context
        self._pinger = pinger
        self._failure_locator = failure_locator

    def check_all(self) -> None:
        """Checks all suspicions once."""
        for address, suspicion in self._context.suspicions.current:
            member = self._context.table.get(address)
            if member is not None:
                self._check(member, suspicion)

    def _check(self, member: Member, suspicion: Suspicion) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        if suspicion.is_inquiry_due(now_ms):
            self._inquire(member, suspicion)
        if now_ms < suspicion.due_ms(len(context.table.index.live)):
            return
        since_ms = suspicion.failed_probe_ms or suspicion.since_ms
        if self._failure_locator.is_member_failure(member, since_ms):
            context.updater.declare_dead(member)
            context.outbox.gossip()
        else:
            # The whole site may be lost; answers after its return must not
            # complete an earlier suspicion. Another probe has to fail first.
            suspicion.restart(now_ms)
            context.contact.request_check(member.site)

    def _inquire(self, member: Member, suspicion: Suspicion) -> None:
        context = self._context
        if suspicion.failed_probe_ms is not None:
            self._pinger.ping(member)
            context.contact.request_check(member.site)
            return
        packed = member.control_address.pack()
        inquiry = SyncRecords(round=0, entries=(), wanted=(packed,))
        peer = context.table.index.live.draw(context.random)
        if peer is not None and peer != context.local.member.control_address:
            context.outbox.send_limited(peer, inquiry)
