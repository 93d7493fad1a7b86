"""Roles of members."""

from enum import IntEnum


class Role(IntEnum):
    """What a member does."""

    BALANCER = 0
    AGENT = 1
