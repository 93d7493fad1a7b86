"""Membership protocol of one process."""

from random import Random

from anvilthread.address import Address
from anvilthread.clock import Clock
from anvilthread.membership.announcer import Announcer
from anvilthread.membership.failure_locator import FailureLocator
from anvilthread.membership.fetcher import Fetcher
from anvilthread.membership.inbox import Inbox
from anvilthread.membership.joiner import Joiner
from anvilthread.membership.member import Member
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.node_context import build_context
from anvilthread.membership.peer_selector import PeerSelector
from anvilthread.membership.pinger import Pinger
from anvilthread.membership.prober import Prober
from anvilthread.membership.responder import Responder
from anvilthread.membership.suspicion_monitor import SuspicionMonitor
from anvilthread.membership.sync_responder import SyncResponder
from anvilthread.membership.synchroniser import Synchroniser
from anvilthread.membership.ticker import Ticker
from anvilthread.membership.tombstones import Tombstones
from anvilthread.transport import Transport


class MembershipNode:
    """Maintains the member table by the SWIM protocol.

    Args:
        clock: Source of time and delays.
        random: Source of every random choice.
        transport: Unreliable exchange of messages of up to 1,200 bytes.
        member: This process; its control address is the transport's.
        seeds: Control addresses of the members to join through.
        settings: Times and limits; must be equal on all members.
    """

    __slots__ = (
        '_announcer',
        '_context',
        '_inbox',
        '_joiner',
        '_prober',
        '_synchroniser',
        '_ticker',
        '_transport',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        transport: Transport,
        member: Member,
        seeds: tuple[Address, ...],
        settings: MembershipSettings,
    ) -> None:
        self._transport = transport
        self._context = build_context(
            clock=clock,
            random=random,
            transport=transport,
            member=member,
            settings=settings,
        )
        self._announcer = Announcer(self._context)
        self._build_components(seeds)

    @property
    def member(self) -> Member:
        """The member that describes this process."""
        return self._context.local.member

    @property
    def table(self) -> MemberTable:
        """The member table, including this process."""
        return self._context.table

    @property
    def is_synchronised(self) -> bool:
        """Whether the member table is complete enough to act on.

        False after the start and after a freeze, until the table has been
        compared with a peer's.
        """
        return self._synchroniser.is_complete and not self._ticker.is_frozen

    @property
    def malformed(self) -> int:
        """Number of messages dropped because they could not be decoded."""
        return self._inbox.malformed

    def site_in_contact(self, site: str) -> bool:
        """Whether a member of a site, other than a dead one, answered recently.

        Only answers to requests of this node count. A call for a site without
        a recent answer makes this node ping some of its members within a
        tick.
        """
        return self._context.contact.in_contact(site)

    def set_configuration_revision(self, revision: int) -> None:
        """Publishes the revision in force on this node without extra messages.

        The revision is part of every message header; peers see it as a change
        of the member in their tables.
        """
        self._context.local.set_revision(revision)

    def describe(self, *, services: tuple[int, ...], slots: int) -> None:
        """Announces changed services and slots under a new incarnation."""
        self._context.local.describe(services=services, slots=slots)

    def announce_draining(self) -> None:
        """Announces that this process accepts no new work."""
        self._announcer.announce(MemberState.DRAINING)

    def start(self) -> None:
        """Starts the tasks of this node."""
        tasks = self._context.tasks
        tasks.spawn(self._receive)
        tasks.spawn(self._joiner.run)
        tasks.spawn(self._prober.run)
        tasks.spawn(self._ticker.run)

    def leave(self) -> None:
        """Announces a planned stop, and stops."""
        self._announcer.announce(MemberState.LEFT)
        self.stop()

    def stop(self) -> None:
        """Stops the tasks without an announcement; the transport stays open."""
        self._context.tasks.kill()

    def _receive(self) -> None:
        while True:
            received = self._transport.receive()
            if self._ticker.is_frozen:
                self._ticker.handle_pause()
            self._inbox.handle(received)

    def _build_components(self, seeds: tuple[Address, ...]) -> None:
        context = self._context
        pinger = Pinger(context)
        failure_locator = FailureLocator(context)
        tombstones = Tombstones(
            clock=context.clock,
            table=context.table,
            retention_ms=context.settings.tombstone_ms,
        )
        context.table.subscribe(tombstones.on_change)
        self._prober = Prober(context, pinger, failure_locator)
        context.suspicions.subscribe(self._prober.probe_suspect)
        self._synchroniser = Synchroniser(context)
        peer_selector = PeerSelector(context)
        fetcher = Fetcher(context, peer_selector)
        self._joiner = Joiner(
            context=context,
            seeds=seeds,
            pinger=pinger,
            synchroniser=self._synchroniser,
            fetcher=fetcher,
            tombstones=tombstones,
        )
        self._inbox = Inbox(
            context=context,
            pinger=pinger,
            responder=Responder(context, pinger),
            sync_responder=SyncResponder(context),
            joiner=self._joiner,
            synchroniser=self._synchroniser,
            fetcher=fetcher,
        )
        self._ticker = Ticker(
            context=context,
            pinger=pinger,
            monitor=SuspicionMonitor(context, pinger, failure_locator),
            synchroniser=self._synchroniser,
            fetcher=fetcher,
            peer_selector=peer_selector,
            tombstones=tombstones,
        )
