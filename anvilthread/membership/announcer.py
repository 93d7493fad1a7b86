"""Announcements that must not wait for the usual spread."""

from anvilthread.address import Address
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.probe_messages import Gossip
from anvilthread.membership.wire import Record


class Announcer:
    """Tells those that would send work to this node that it takes none.

    Args:
        context: Shared parts of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def announce(self, state: MemberState) -> None:
        """Enters a state and sends it directly to those concerned."""
        context = self._context
        context.own.enter(state)
        message = Gossip(records=(Record.of(context.own.member),))
        for address in self._concerned():
            context.outbox.send(address, message)
        context.outbox.spread()

    def _concerned(self) -> list[Address]:
        """Balancers, agents of the same services, then other members."""
        context = self._context
        table = context.table
        members = table.live_balancers()
        for service in context.own.member.services:
            members.extend(table.live_agents(service))
        context.random.shuffle(members)
        limit = context.settings.direct_announcements
        addresses = [member.control_address for member in members]
        addresses += table.index.live.sample(context.random, limit)
        unique = dict.fromkeys(addresses)
        unique.pop(context.own.member.control_address, None)
        return list(unique)[:limit]
