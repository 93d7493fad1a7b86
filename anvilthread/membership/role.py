"""Roles of members."""

from enum import IntEnum


class Role(IntEnum):
    """Role of a member in the cluster."""

    BALANCER = 0
    AGENT = 1
