"""The periodic work of a node besides probing."""

from absl import logging

from anvilthread.address import Address
from anvilthread.membership.fetcher import Fetcher
from anvilthread.membership.freeze_detector import FreezeDetector
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.peers import Peers
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.suspicion_monitor import SuspicionMonitor
from anvilthread.membership.synchroniser import Synchroniser
from anvilthread.membership.tombstones import Tombstones

#: Members of a site that are asked when contact with it is in doubt.
_SITE_CHECKS = 2


class Ticker:
    """Checks timers, spreads changes and compares tables.

    Args:
        context: Shared parts of the node.
        pinger: Sends the pings that check contact with a site.
        monitor: Decides about suspected members.
        synchroniser: Compares tables.
        fetcher: Fetches the table after a join.
        peers: Choice of the peers for comparisons.
        tombstones: Forgets old members.
    """

    __slots__ = (
        '_context',
        '_fetcher',
        '_freeze',
        '_monitor',
        '_peers',
        '_pinger',
        '_synced_ms',
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
        peers: Peers,
        tombstones: Tombstones,
    ) -> None:
        self._context = context
        self._pinger = pinger
        self._monitor = monitor
        self._synchroniser = synchroniser
        self._fetcher = fetcher
        self._peers = peers
        self._tombstones = tombstones
        self._synced_ms = context.clock.now_ms()
        self._freeze = FreezeDetector(
            clock=context.clock,
            period_ms=context.settings.tick_ms,
            freeze_ms=context.settings.freeze_ms,
        )

    @property
    def is_frozen(self) -> bool:
        """Whether a freeze has just ended that is not yet handled."""
        return self._freeze.is_frozen

    def run(self) -> None:
        """Works periodically, forever."""
        context = self._context
        self._freeze.run()
        while True:
            context.clock.sleep_ms(context.settings.tick_ms)
            self.handle_pause()
            self._tick()

    def handle_pause(self) -> None:
        """Makes up for time in which this node did not run."""
        late_ms = self._freeze.late_ms
        is_frozen = self._freeze.is_frozen
        self._freeze.run()
        if is_frozen:
            self._resume(late_ms)
        elif late_ms > self._context.settings.late_ms:
            self._context.suspicions.delay(late_ms)
            self._context.health.fail()

    def _resume(self, frozen_ms: int) -> None:
        """Distrusts the view after a freeze, under a new incarnation."""
        context = self._context
        context.exchanges.clear()
        context.contact.reset()
        context.suspicions.restart()
        self._synchroniser.reset()
        context.own.renew(context.own.member.incarnation + 1)
        logging.warning(
            'event=freeze_detected duration_ms=%d incarnation=%d',
            frozen_ms,
            context.own.member.incarnation,
        )

    def _tick(self) -> None:
        self._monitor.run()
        self._check_sites()
        self._context.outbox.spread()
        self._compare()
        self._fetcher.run()
        self._tombstones.run()

    def _check_sites(self) -> None:
        context = self._context
        for site in context.contact.take_wanted():
            pool = context.table.index.site(site)
            drawn = pool.sample(context.random, _SITE_CHECKS + 1)
            others = self._others(drawn)[:_SITE_CHECKS]
            if not others:
                # Nobody is left whose answer could restore contact.
                context.table.sites.change(site, reachable=True)
            for address in others:
                member = context.table.get(address)
                if member is not None:
                    self._pinger.ping(member)

    def _compare(self) -> None:
        now_ms = self._context.clock.now_ms()
        if now_ms - self._synced_ms < self._synchroniser.period_ms:
            return
        self._synced_ms = now_ms
        peer = self._peers.draw()
        if peer is not None:
            self._synchroniser.start(peer)

    def _others(self, addresses: list[Address]) -> list[Address]:
        own_address = self._context.own.member.control_address
        return [address for address in addresses if address != own_address]
