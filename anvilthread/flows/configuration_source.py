"""The interface to the store and peers that hold the configuration."""

from typing import Protocol

from result import Result

from anvilthread.error import AnvilthreadError
from anvilthread.flows.route_table import RouteTable


class ConfigurationSource(Protocol):
    """Reads the latest configuration; blocks only the calling task."""

    def read(self) -> Result[RouteTable, AnvilthreadError]:
        """Reads the configuration from the store."""

    def read_from(self, host: str) -> Result[RouteTable, AnvilthreadError]:
        """Reads the configuration in force at another node."""
