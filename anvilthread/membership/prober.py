"""Periodic probes of other members."""

from enum import Enum

from anvilthread.address import Address
from anvilthread.membership.exchange import Exchange
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.witnesses import Witnesses

#: Members of an unreachable site are probed in one of this many cases, so
#: that they do not displace the others.
_UNREACHABLE_SHARE = 4


class _Verdict(Enum):
    ANSWERED = 1
    UNANSWERED = 2

    #: The timer fired late: this node was paused, and an answer may be
    #: waiting unread.
    VOID = 3


class Prober:
    """Probes the next member on the ring and random others.

    Args:
        context: Shared parts of the node.
        pinger: Sends the pings.
        witnesses: Judges probes without an answer.
    """

    __slots__ = ('_context', '_pinger', '_witnesses')

    def __init__(
        self, context: NodeContext, pinger: Pinger, witnesses: Witnesses
    ) -> None:
        self._context = context
        self._pinger = pinger
        self._witnesses = witnesses

    def run(self) -> None:
        """Starts probes, forever."""
        context = self._context
        settings = context.settings
        # Nodes that start together must not probe in step.
        first_ms = context.random.uniform(0, settings.probe_period_ms)
        context.clock.sleep_ms(first_ms)
        own_address = context.own.member.control_address
        while True:
            # Its predecessor finds a dead member within one period; random
            # probes cover a predecessor that is slow or dead itself.
            self._start_probe(context.table.index.ring.successor(own_address))
            for _ in range(settings.random_probes):
                self._start_probe(context.table.index.live.draw(context.random))
            period_ms = settings.probe_period_ms * context.health.multiplier
            context.clock.sleep_ms(period_ms)

    def confirm(self, address: Address) -> None:
        """Probes a member that a peer suspects, at a few nodes only."""
        context = self._context
        share = context.settings.confirming_nodes / len(context.table)
        if context.random.random() < share:
            self._start_probe(address)

    def _start_probe(self, address: Address | None) -> None:
        context = self._context
        member = None if address is None else context.table.get(address)
        if member is None or address == context.own.member.control_address:
            return
        if member.site not in context.table.sites:
            if context.random.randrange(_UNREACHABLE_SHARE):
                return
        context.tasks.spawn(self._probe, member)

    def _probe(self, member: Member) -> None:
        health = self._context.health
        started_ms = self._context.clock.now_ms()
        exchange = self._pinger.ping(member)
        timeout_ms = self._pinger.timeout_ms(member)
        verdict = self._wait(exchange, timeout_ms)
        if verdict == _Verdict.UNANSWERED:
            for helper in self._witnesses.helpers(member):
                self._pinger.ask_helper(helper, exchange)
            settings = self._context.settings
            timeout_ms += settings.indirect_timeout_ms * health.multiplier
            timeout_ms -= settings.ack_timeout_ms * health.multiplier
            verdict = self._wait(exchange, timeout_ms)
        if verdict == _Verdict.ANSWERED:
            health.succeed()
        elif verdict == _Verdict.VOID:
            health.fail()
        else:
            self._fail(member, started_ms)

    def _wait(self, exchange: Exchange, timeout_ms: float) -> _Verdict:
        clock = self._context.clock
        due_ms = clock.now_ms() + timeout_ms
        if clock.wait(exchange.answered, timeout_ms):
            return _Verdict.ANSWERED
        late_ms = clock.now_ms() - due_ms
        if late_ms > self._context.settings.late_ms:
            return _Verdict.VOID
        return _Verdict.UNANSWERED

    def _fail(self, member: Member, started_ms: int) -> None:
        context = self._context
        known = context.table.get(member.control_address)
        if known is None or not known.is_live:
            return
        if known.incarnation != member.incarnation:
            return
        if self._witnesses.exist(known, started_ms):
            context.updater.suspect(known, context.clock.now_ms())
            context.outbox.spread()
            return
        if not context.contact.heard_any(started_ms):
            context.health.fail()
        if context.contact.is_silent(known.site):
            context.table.sites.change(known.site, reachable=False)
