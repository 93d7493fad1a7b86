"""SWIM membership: the live nodes, their sites and their services."""

from anvilthread.membership.member import Member
from anvilthread.membership.member_change import MemberChange
from anvilthread.membership.member_state import MemberState
from anvilthread.membership.member_table import MemberTable
from anvilthread.membership.membership_node import MembershipNode
from anvilthread.membership.membership_settings import MembershipSettings
from anvilthread.membership.role import Role

__all__ = (
    'Member',
    'MemberChange',
    'MemberState',
    'MemberTable',
    'MembershipNode',
    'MembershipSettings',
    'Role',
)
