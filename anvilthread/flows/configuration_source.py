"""The interface to the store and peers that hold the configuration."""

from typing import Protocol

from result import Result

from anvilthread.error import AnvilthreadError
from anvilthread.flows.store_reading import StoreReading


class ConfigurationSource(Protocol):
    """Reads the latest configuration; blocks only the calling task."""

    def read(self) -> Result[StoreReading, AnvilthreadError]:
        """Reads the operator's keys from the store in one call."""

    def read_from(self, host: str) -> Result[StoreReading, AnvilthreadError]:
        """Reads what is in force at another node."""
