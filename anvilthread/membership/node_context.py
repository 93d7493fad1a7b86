"""The parts that the tasks of one node share."""

from dataclasses import dataclass
from random import Random

from gevent.pool import Group

from anvilthread.clock import Clock
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.exchanges import Exchanges
from anvilthread.membership.local_health import LocalHealth
from anvilthread.membership.member import Member
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.outbox import Outbox
from anvilthread.membership.own_member import OwnMember
from anvilthread.membership.site_contact import SiteContact
from anvilthread.membership.suspicions import Suspicions
from anvilthread.membership.table_updater import TableUpdater
from anvilthread.transport import Transport


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeContext:
    """Parts of a node, wired by :class:`MembershipNode`."""

    clock: Clock
    random: Random
    settings: MembershipSettings
    tasks: Group
    table: MemberTable
    own: OwnMember
    outbox: Outbox
    exchanges: Exchanges
    contact: SiteContact
    suspicions: Suspicions
    health: LocalHealth
    updater: TableUpdater


def build_context(
    *,
    clock: Clock,
    random: Random,
    transport: Transport,
    member: Member,
    settings: MembershipSettings,
) -> NodeContext:
    """Wires the parts of a node."""
    table = MemberTable()
    queue = ChangeQueue(capacity=settings.queued_changes)
    health = LocalHealth()
    suspicions = Suspicions(clock=clock, settings=settings)
    table.subscribe(suspicions.on_change)
    contact = SiteContact(clock=clock, settings=settings)
    table.subscribe(contact.on_change)
    own = OwnMember(clock=clock, member=member, table=table, queue=queue)
    return NodeContext(
        clock=clock,
        random=random,
        settings=settings,
        tasks=Group(),
        table=table,
        own=own,
        outbox=Outbox(
            clock=clock,
            random=random,
            transport=transport,
            settings=settings,
            table=table,
            own=own,
            queue=queue,
        ),
        exchanges=Exchanges(clock=clock, random=random),
        contact=contact,
        suspicions=suspicions,
        health=health,
        updater=TableUpdater(
            table=table,
            own=own,
            queue=queue,
            suspicions=suspicions,
            health=health,
        ),
    )
