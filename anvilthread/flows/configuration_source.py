"""The interface to the places that have the configuration."""

from typing import Protocol

from result import Result

from anvilthread.error import AnvilthreadError
from anvilthread.flows.route_table import RouteTable


class ConfigurationSource(Protocol):
    """Reads the newest configuration; blocks the calling task only."""

    def read(self) -> Result[RouteTable, AnvilthreadError]:
        """Reads it from the store."""

    def read_from(self, host: str) -> Result[RouteTable, AnvilthreadError]:
        """Reads what another node holds."""
