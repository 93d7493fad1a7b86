"""Distinction between a failed member and a lost site."""

from anvilthread.address import Address
from anvilthread.membership.member import Member
from anvilthread.membership.node_context import NodeContext

#: Helpers from the site of the probed member; they also show whether the site
#: as a whole is reachable.
_SITE_HELPERS = 2


class FailureLocator:
    """Distinguishes the failure of a member from the loss of its site.

    Args:
        context: Shared components of the node.
    """

    __slots__ = ('_context',)

    def __init__(self, context: NodeContext) -> None:
        self._context = context

    def helpers(self, member: Member) -> list[Member]:
        """Returns members that are asked for indirect pings of a member."""
        context = self._context
        wanted = context.settings.indirect_helpers
        excluded = self._excluded(member)
        # Two more than needed are sampled, as two of them may be excluded.
        pool = context.table.index.site(member.site)
        near = pool.sample(context.random, _SITE_HELPERS + 2)
        near = [candidate for candidate in near if candidate not in excluded][
            :_SITE_HELPERS
        ]
        far = context.table.index.live.sample(context.random, wanted + 2)
        far = [candidate for candidate in far if candidate not in excluded]
        unique = list(dict.fromkeys(near + far))[:wanted]
        found = (context.table.get(address) for address in unique)
        return [helper for helper in found if helper is not None]

    def is_member_failure(self, member: Member, since_ms: int) -> bool:
        """Whether this node has reached other members, but not the given one.

        Another member of the same site must have answered, because an
        unreachable site must not be declared dead. If the site has no other
        member, an answer from any site is enough; if there is no other live
        member at all, no answer is needed.

        Args:
            member: Member that did not answer.
            since_ms: Time since which it has not answered.
        """
        context = self._context
        address = member.control_address
        excluded = self._excluded(member)
        pool = context.table.index.site(member.site)
        if len(pool) > sum(candidate in pool for candidate in excluded):
            return context.contact.answered_since(
                member.site, since_ms, excluding=address
            )
        if len(context.table.index.live) <= len(excluded):
            return True
        return context.contact.any_answered_since(since_ms, excluding=address)

    def _excluded(self, member: Member) -> set[Address]:
        local_address = self._context.local.member.control_address
        return {member.control_address, local_address}
