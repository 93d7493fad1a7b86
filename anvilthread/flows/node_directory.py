"""The interface to the persistent list of nodes."""

from typing import Protocol

import msgspec
from result import Result

from anvilthread.error import AnvilthreadError


class ListedHosts(msgspec.Struct, frozen=True, kw_only=True):
    """The content of the list.

    Attributes:
        hosts: IPv4 addresses on which nodes have run.
        ignored: Number of entries that are none of ours: another writer's, or
            ones that cannot be read.
    """

    hosts: tuple[str, ...]
    ignored: int


class NodeDirectory(Protocol):
    """Hosts on which nodes have run; some may no longer exist.

    It is used only if none of the contacts in the settings answers. Every
    method blocks only the calling task.
    """

    def register(self, host: str) -> Result[int, AnvilthreadError]:
        """Adds a host unless it is already listed.

        Returns:
            Era of the store in which the host is listed; 0 if it tells none.
        """

    def hosts(self) -> Result[ListedHosts, AnvilthreadError]:
        """Reads the hosts; the list may be a few seconds old."""
