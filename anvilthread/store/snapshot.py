"""The state of one key of the store."""

from msgspec import Struct


class Snapshot(Struct, frozen=True, kw_only=True):
    """Value of one key at one time.

    Attributes:
        value: The bytes, or None if the key does not exist.
        revision: Number to pass to a compare-and-swap; 0 if there is no value.
        index: Number to pass to the next watch of this key.
    """

    value: bytes | None
    revision: int
    index: int
