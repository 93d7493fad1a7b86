"""The result of a change."""

from msgspec import Struct

from anvilthread.configuration.record import ConfigurationRecord


class Applied(Struct, frozen=True, kw_only=True):
    """A change that is in the store.

    Attributes:
        revision: Number of the change.
        is_new: False if an earlier call had already made the change, or if
            the files were in force already.
        record: Latest record in the store, which may have later changes.
    """

    revision: int
    is_new: bool
    record: ConfigurationRecord
