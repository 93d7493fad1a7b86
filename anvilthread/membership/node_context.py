"""Components that the tasks of one node share."""

from dataclasses import dataclass
from random import Random

from gevent.pool import Group

from anvilthread.clock import Clock
from anvilthread.membership.change_queue import ChangeQueue
from anvilthread.membership.local_health import LocalHealth
from anvilthread.membership.local_member import LocalMember
from anvilthread.membership.member import Member
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.outbox import Outbox
from anvilthread.membership.pending_requests import PendingRequests
from anvilthread.membership.site_contact import SiteContact
from anvilthread.membership.suspicions import Suspicions
from anvilthread.membership.table_updater import TableUpdater
from anvilthread.transport import Transport


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeContext:
    """Shared components of a node."""

    clock: Clock
    random: Random
    settings: MembershipSettings
    tasks: Group
    table: MemberTable
    local: LocalMember
    outbox: Outbox
    pending_requests: PendingRequests
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
    """Builds the shared components of a node."""
    table = MemberTable()
    queue = ChangeQueue(capacity=settings.queued_changes)
    health = LocalHealth()
    suspicions = Suspicions(clock=clock, settings=settings)
    table.subscribe(suspicions.on_change)
    contact = SiteContact(clock=clock, settings=settings)
    table.subscribe(contact.on_change)
    local = LocalMember(clock=clock, member=member, table=table, queue=queue)
    return NodeContext(
        clock=clock,
        random=random,
        settings=settings,
        tasks=Group(),
        table=table,
        local=local,
        outbox=Outbox(
            clock=clock,
            random=random,
            transport=transport,
            settings=settings,
            table=table,
            local=local,
            queue=queue,
        ),
        pending_requests=PendingRequests(clock=clock, random=random),
        contact=contact,
        suspicions=suspicions,
        health=health,
        updater=TableUpdater(
            table=table,
            local=local,
            queue=queue,
            suspicions=suspicions,
            health=health,
        ),
    )
