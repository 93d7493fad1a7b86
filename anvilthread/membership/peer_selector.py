"""Selection of peers for comparisons and transfers of the table."""

from anvilthread.address import Address
from anvilthread.membership.node_context import NodeContext


class PeerSelector:
    """Selects random members, preferably ones that answered recently.

    Args:
        context: Shared components of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def select(self) -> Address | None:
        """Returns a live member other than this node, or None."""
        context = self._context
        live = context.table.index.live
        answering = [peer for peer in context.contact.recent if peer in live]
        if answering:
            return context.random.choice(answering)
        local_address = context.local.member.control_address
        drawn = live.sample(context.random, 2)
        others = [address for address in drawn if address != local_address]
        return others[0] if others else None
