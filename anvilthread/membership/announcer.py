"""Announcements that are sent directly instead of by gossip alone."""

from anvilthread.address import Address
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.node_context import NodeContext
from anvilthread.membership.probe_messages import Gossip
from anvilthread.membership.wire import Record


class Announcer:
    """Announces a drain or stop to the nodes that route to this one.

    Args:
        context: Shared components of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def announce(self, state: MemberState) -> None:
        """Sets the state of this node and sends it directly to peers."""
        context = self._context
        context.local.set_state(state)
        message = Gossip(records=(Record.of(context.local.member),))
        for address in self._recipients():
            context.outbox.send(address, message)
        context.outbox.gossip()

    def _recipients(self) -> list[Address]:
        """Returns balancers and agents of its services, then random members."""
        context = self._context
        table = context.table
        members = table.live_balancers()
        for service in context.local.member.services:
            members.extend(table.live_agents(service))
        context.random.shuffle(members)
        limit = context.settings.direct_announcements
        addresses = [member.control_address for member in members]
        addresses += table.index.live.sample(context.random, limit)
        unique = dict.fromkeys(addresses)
        unique.pop(context.local.member.control_address, None)
        return list(unique)[:limit]
