"""The revision record, which is the value of the configuration in the store."""

from typing import Final, Self

import msgspec
from msgspec import Struct

from anvilthread.configuration.texts import ConfigurationTexts

#: Earlier changes that a record lists. A lost answer is resolved by looking up
#: its change ID in this list, within seconds of the write; at 14,000 changes a
#: day the list covers more than six minutes.
HISTORY_LENGTH: Final = 64


class Change(Struct, frozen=True, kw_only=True, array_like=True):
    """One change of the configuration.

    Attributes:
        revision: Number of the change, counted from 1.
        change_id: Identity chosen by the command that applied it.
        operator: Who applied it.
        applied_ms: Time since the Unix epoch.
    """

    revision: int
    change_id: str
    operator: str
    applied_ms: int


class ConfigurationRecord(Struct, frozen=True, kw_only=True, array_like=True):
    """The configuration at one revision.

    Attributes:
        change: The latest change.
        texts: The operators' files.
        history: Earlier changes, the oldest first.
    """

    change: Change
    texts: ConfigurationTexts
    history: tuple[Change, ...] = ()

    @property
    def revision(self) -> int:
        """Number of the latest change."""
        return self.change.revision

    @property
    def changes(self) -> tuple[Change, ...]:
        """All listed changes, the oldest first."""
        return (*self.history, self.change)

    def find(self, change_id: str) -> Change | None:
        """Returns the change with an ID, if this record lists it."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def followed_by(self, change: Change, texts: ConfigurationTexts) -> Self:
        """Returns the record of the next change."""
        return msgspec.structs.replace(
            self,
            change=change,
            texts=texts,
            history=self.changes[-HISTORY_LENGTH:],
        )
