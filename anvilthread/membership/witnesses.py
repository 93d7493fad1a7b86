"""Choice of the members that help to judge another one."""

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext

#: Helpers from the site of the probed member, which also show whether the
#: site as a whole can be reached.
_SITE_HELPERS = 2


class Witnesses:
    """Tells the failure of a member from the loss of its whole site.

    Args:
        context: Shared parts of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def helpers(self, member: Member) -> list[Member]:
        """Returns members to ask for indirect probes of a member."""
        context = self._context
        wanted = context.settings.indirect_helpers
        excluded = self._excluded(member)
        # Two more than needed are drawn, as two of them may be excluded.
        pool = context.table.index.site(member.site)
        near = pool.sample(context.random, _SITE_HELPERS + 2)
        near = [it for it in near if it not in excluded][:_SITE_HELPERS]
        far = context.table.index.live.sample(context.random, wanted + 2)
        far = [it for it in far if it not in excluded]
        unique = list(dict.fromkeys(near + far))[:wanted]
        found = (context.table.get(address) for address in unique)
        return [helper for helper in found if helper is not None]

    def exist(self, member: Member, since_ms: int) -> bool:
        """Whether this node reached others, but not this member.

        Other members of the same site are the witnesses, because a site that
        is out of reach as a whole must not be declared dead. Without any, a
        member of another site will do.

        Args:
            member: Member that did not answer.
            since_ms: Time since which it has not answered.
        """
        context = self._context
        address = member.control_address
        excluded = self._excluded(member)
        pool = context.table.index.site(member.site)
        if len(pool) > sum(it in pool for it in excluded):
            return context.contact.heard(member.site, since_ms, besides=address)
        if len(context.table.index.live) <= len(excluded):
            return True
        return context.contact.heard_any(since_ms, besides=address)

    def _excluded(self, member: Member) -> set[Address]:
        own = self._context.own.member.control_address
        return {member.control_address, own}
