"""The interface to the list of nodes that outlives them all."""

from typing import Protocol

from result import Result

from anvilthread.error import AnvilthreadError


class NodeDirectory(Protocol):
    """Hosts at which nodes have run; some may be gone.

    It is needed only where the contacts of the settings do not answer.
    Every method blocks the calling task only.
    """

    def register(self, host: str) -> Result[None, AnvilthreadError]:
        """Adds a host; one that is listed already is no error."""

    def hosts(self) -> Result[list[str], AnvilthreadError]:
        """Reads the hosts; the list may be some seconds old."""
