"""The kinds of keys that a cluster uses."""

from enum import StrEnum


class KeyKind(StrEnum):
    """A table of the key file."""

    CONNECTION_ID = 'connection_id'
    DATAGRAM = 'datagram'
    CURVE = 'curve'
    EXECUTION = 'execution'
