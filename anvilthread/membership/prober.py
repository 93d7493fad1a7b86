"""Periodic probes of other members."""

from enum import Enum

from anvilthread.address import Address
from anvilthread.membership.failure_locator import FailureLocator
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pending_request import PendingRequest
from anvilthread.membership.pinger import Pinger

#: Members of an unreachable site are probed in only one of this many cases on
#: average, so that they do not displace the others.
_UNREACHABLE_PROBE_DIVISOR = 4


class _ProbeResult(Enum):
    ANSWERED = 1
    UNANSWERED = 2

    #: The timer fired late: this node was paused, and the answer may have
    #: arrived unread.
    VOID = 3


class Prober:
    """Probes the next member on the ring and random members.

    Args:
        context: Shared components of the node.
        pinger: Sends the pings.
        failure_locator: Locates the cause of an unanswered probe.
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

    def run(self) -> None:
        """Starts probes periodically, forever."""
        context = self._context
        settings = context.settings
        # Random delay, so that nodes that start together do not probe in
        # lockstep.
        first_ms = context.random.uniform(0, settings.probe_period_ms)
        context.clock.sleep_ms(first_ms)
        local_address = context.local.member.control_address
        while True:
            # The ring predecessor of a dead member detects it within one
            # period; random probes cover a slow or dead predecessor.
            self._start_probe(context.table.index.ring.successor(local_address))
            for _ in range(settings.random_probes):
                self._start_probe(context.table.index.live.draw(context.random))
            period_ms = settings.probe_period_ms * context.health.multiplier
            context.clock.sleep_ms(period_ms)

    def probe_suspect(self, address: Address) -> None:
        """Probes a member that a peer suspects; only a few nodes do so."""
        context = self._context
        probability = context.settings.confirming_nodes / len(context.table)
        if context.random.random() < probability:
            self._start_probe(address)

    def _start_probe(self, address: Address | None) -> None:
        context = self._context
        member = None if address is None else context.table.get(address)
        if member is None or address == context.local.member.control_address:
            return
        if member.site not in context.table.sites:
            if context.random.randrange(_UNREACHABLE_PROBE_DIVISOR):
                return
        context.tasks.spawn(self._probe, member)

    def _probe(self, member: Member) -> None:
        health = self._context.health
        started_ms = self._context.clock.now_ms()
        request = self._pinger.ping(member)
        timeout_ms = self._pinger.timeout_ms(member)
        result = self._wait_for_answer(request, timeout_ms)
        if result == _ProbeResult.UNANSWERED:
            for helper in self._failure_locator.helpers(member):
                self._pinger.request_indirect_ping(helper, request)
            settings = self._context.settings
            timeout_ms += settings.indirect_timeout_ms * health.multiplier
            timeout_ms -= settings.ack_timeout_ms * health.multiplier
            result = self._wait_for_answer(request, timeout_ms)
        if result == _ProbeResult.ANSWERED:
            health.record_success()
        elif result == _ProbeResult.VOID:
            health.record_failure()
        else:
            self._handle_failure(member, started_ms)

    def _wait_for_answer(
        self, request: PendingRequest, timeout_ms: float
    ) -> _ProbeResult:
        clock = self._context.clock
        due_ms = clock.now_ms() + timeout_ms
        if clock.wait(request.answered, timeout_ms):
            return _ProbeResult.ANSWERED
        late_ms = clock.now_ms() - due_ms
        if late_ms > self._context.settings.late_ms:
            return _ProbeResult.VOID
        return _ProbeResult.UNANSWERED

    def _handle_failure(self, member: Member, started_ms: int) -> None:
        context = self._context
        known = context.table.get(member.control_address)
        if known is None or not known.is_live:
            return
        if known.incarnation != member.incarnation:
            return
        if self._failure_locator.is_member_failure(known, started_ms):
            context.updater.suspect(known, context.clock.now_ms())
            context.outbox.gossip()
            return
        if not context.contact.any_answered_since(started_ms):
            context.health.record_failure()
        if context.contact.is_silent(known.site):
            context.table.sites.set_reachable(known.site, reachable=False)
