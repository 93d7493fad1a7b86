"""Periodic work of a node other than probing."""

from absl import logging

from anvilthread.address import Address
from anvilthread.membership.fetcher import Fetcher
from anvilthread.membership.freeze_detector import FreezeDetector
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.peer_selector import PeerSelector
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.suspicion_monitor import SuspicionMonitor
from anvilthread.membership.synchroniser import Synchroniser
from anvilthread.membership.tombstones import Tombstones

#: Members that are pinged to check contact with their site.
_PINGS_PER_SITE_CHECK = 2


class Ticker:
    """Checks timers, sends gossip and compares tables.

    Args:
        context: Shared components of the node.
        pinger: Sends the pings that check contact with a site.
        monitor: Probes suspected members or declares them dead.
        synchroniser: Compares tables.
        fetcher: Fetches the table after a join.
        peer_selector: Selects the peers for comparisons.
        tombstones: Forgets expired members.
    """

    __slots__ = (
        '_compared_ms',
        '_context',
        '_fetcher',
        '_freeze_detector',
        '_monitor',
        '_peer_selector',
        '_pinger',
        '_synchroniser',
        '_tombstones',
    )

    def __init__(
        self,
        *,
        context: NodeContext,
        pinger: Pinger,
        monitor: SuspicionMonitor,
        synchroniser: Synchroniser,
        fetcher: Fetcher,
        peer_selector: PeerSelector,
        tombstones: Tombstones,
    ) -> None:
        self._context = context
        self._pinger = pinger
        self._monitor = monitor
        self._synchroniser = synchroniser
        self._fetcher = fetcher
        self._peer_selector = peer_selector
        self._tombstones = tombstones
        self._compared_ms = context.clock.now_ms()
        self._freeze_detector = FreezeDetector(
            clock=context.clock,
            period_ms=context.settings.tick_ms,
            freeze_ms=context.settings.freeze_ms,
        )

    @property
    def is_frozen(self) -> bool:
        """Whether a freeze has ended that has not been handled yet."""
        return self._freeze_detector.is_frozen

    def run(self) -> None:
        """Runs the periodic work, forever."""
        context = self._context
        self._freeze_detector.record_run()
        while True:
            context.clock.sleep_ms(context.settings.tick_ms)
            self.handle_pause()
            self._tick()

    def handle_pause(self) -> None:
        """Compensates for a time in which this node did not run."""
        late_ms = self._freeze_detector.late_ms
        is_frozen = self._freeze_detector.is_frozen
        self._freeze_detector.record_run()
        if is_frozen:
            self._recover_from_freeze(late_ms)
        elif late_ms > self._context.settings.late_ms:
            self._context.suspicions.extend(late_ms)
            self._context.health.record_failure()

    def _recover_from_freeze(self, frozen_ms: int) -> None:
        """Invalidates the table after a freeze and raises the incarnation."""
        context = self._context
        context.pending_requests.clear()
        context.contact.reset()
        context.suspicions.restart()
        self._synchroniser.reset()
        context.local.raise_incarnation(context.local.member.incarnation + 1)
        logging.warning(
            'event=freeze_detected duration_ms=%d incarnation=%d',
            frozen_ms,
            context.local.member.incarnation,
        )

    def _tick(self) -> None:
        self._monitor.check_all()
        self._check_sites()
        self._context.outbox.gossip()
        self._compare_tables()
        self._fetcher.request_next()
        self._tombstones.expire()

    def _check_sites(self) -> None:
        context = self._context
        for site in context.contact.pop_due_checks():
            pool = context.table.index.site(site)
            drawn = pool.sample(context.random, _PINGS_PER_SITE_CHECK + 1)
            others = self._without_local(drawn)[:_PINGS_PER_SITE_CHECK]
            if not others:
                # No member is left whose answer could restore contact.
                context.table.sites.set_reachable(site, reachable=True)
            for address in others:
                member = context.table.get(address)
                if member is not None:
                    self._pinger.ping(member)

    def _compare_tables(self) -> None:
        now_ms = self._context.clock.now_ms()
        if now_ms - self._compared_ms < self._synchroniser.period_ms:
            return
        self._compared_ms = now_ms
        peer = self._peer_selector.select()
        if peer is not None:
            self._synchroniser.start(peer)

    def _without_local(self, addresses: list[Address]) -> list[Address]:
        local_address = self._context.local.member.control_address
        return [address for address in addresses if address != local_address]
