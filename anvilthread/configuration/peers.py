"""What the configuration needs to know about other nodes."""

from collections.abc import Sequence
from typing import Protocol

from anvilthread.address import Address


class ConfigurationPeers(Protocol):
    """Live nodes by the address of their configuration transport.

    Both lists may contain the asking node itself.
    """

    def everywhere(self) -> Sequence[Address]:
        """Live nodes of all sites."""

    def same_site(self) -> Sequence[Address]:
        """Live nodes of the asking node's site."""
