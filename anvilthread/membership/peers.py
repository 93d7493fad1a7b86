"""Choice of a peer to exchange tables with."""

from anvilthread.address import Address
from anvilthread.membership.node_context import NodeContext


class Peers:
    """Draws random members, if possible some that answered lately.

    Args:
        context: Shared parts of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def draw(self) -> Address | None:
        """Returns a live member besides this node, or None."""
        context = self._context
        live = context.table.index.live
        answering = [it for it in context.contact.recent if it in live]
        if answering:
            return context.random.choice(answering)
        own_address = context.own.member.control_address
        drawn = live.sample(context.random, 2)
        others = [address for address in drawn if address != own_address]
        return others[0] if others else None
