"""Interface to the live nodes that exchange the configuration."""

from collections.abc import Sequence
from typing import Protocol

from anvilthread.address import Address


class ConfigurationPeers(Protocol):
    """Live nodes by the address of their configuration transport.

    Both lists may contain the local node.
    """

    def everywhere(self) -> Sequence[Address]:
        """Live nodes of all sites."""

    def same_site(self) -> Sequence[Address]:
        """Live nodes of the local node's site."""
