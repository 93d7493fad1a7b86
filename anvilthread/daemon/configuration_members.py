"""Live nodes among which the configuration is distributed."""

from collections.abc import Sequence

from anvilthread.address import Address
from anvilthread.membership import MemberTable


class ConfigurationMembers:
    """Request addresses of the live members.

    Args:
        table: Member table of this node.
        site: Site of this node.
    """

    __slots__ = ('_site', '_table')

    def __init__(self, *, table: MemberTable, site: str) -> None:
        self._table = table
        self._site = site

    def everywhere(self) -> Sequence[Address]:
        """Live nodes of all sites."""
        return [
            member.request_address for member in self._table if member.is_live
        ]

    def same_site(self) -> Sequence[Address]:
        """Live nodes of this node's site."""
        return [
            member.request_address
            for member in self._table.members_of_site(self._site)
        ]
