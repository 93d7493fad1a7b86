"""Decides when suspected members are dead."""

from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.suspicion import Suspicion
from anvilthread.membership.sync_messages import SyncRecords
from anvilthread.membership.witnesses import Witnesses


class SuspicionMonitor:
    """Probes suspected members again until they are due.

    Args:
        context: Shared parts of the node.
        pinger: Sends the pings.
        witnesses: Must have answered since the suspicion began.
    """

    __slots__ = ('_context', '_pinger', '_witnesses')

    def __init__(
        self, context: NodeContext, pinger: Pinger, witnesses: Witnesses
    ) -> None:
        self._context = context
        self._pinger = pinger
        self._witnesses = witnesses

    def run(self) -> None:
        """Checks all suspicions once."""
        for address, suspicion in self._context.suspicions.current:
            member = self._context.table.get(address)
            if member is not None:
                self._check(member, suspicion)

    def _check(self, member: Member, suspicion: Suspicion) -> None:
        context = self._context
        now_ms = context.clock.now_ms()
        if suspicion.must_ask(now_ms):
            self._ask(member, suspicion)
        if now_ms < suspicion.due_ms(len(context.table.index.live)):
            return
        since_ms = suspicion.probed_ms or suspicion.since_ms
        if self._witnesses.exist(member, since_ms):
            context.updater.declare_dead(member)
            context.outbox.spread()
        else:
            # The site may be lost; what its return shows must not complete
            # a suspicion from before. Another probe has to fail first.
            suspicion.restart(now_ms)
            context.contact.want(member.site)

    def _ask(self, member: Member, suspicion: Suspicion) -> None:
        context = self._context
        if suspicion.probed_ms is not None:
            self._pinger.ping(member)
            context.contact.want(member.site)
            return
        packed = member.control_address.pack()
        inquiry = SyncRecords(round=0, entries=(), wanted=(packed,))
        peer = context.table.index.live.draw(context.random)
        if peer is not None and peer != context.own.member.control_address:
            context.outbox.send_limited(peer, inquiry)
