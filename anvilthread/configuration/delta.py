"""Difference between two revision records."""

from msgspec import Struct

from anvilthread.configuration.record import (
    HISTORY_LENGTH,
    Change,
    ConfigurationRecord,
)
from anvilthread.configuration.record_codec import record_digest
from anvilthread.configuration.text_edit import TextEdit, compare, edit
from anvilthread.configuration.texts import (
    BASE_FILE,
    texts_from_files,
)


class Delta(Struct, frozen=True, kw_only=True, array_like=True):
    """Changes that turn one record into a later one.

    Attributes:
        base: Revision that it applies to.
        changes: Changes since that revision, the oldest first.
        removed: Names of the removed files.
        edits: Edits by name of the changed file.
        digest: Digest of the resulting record.
    """

    base: int
    changes: tuple[Change, ...]
    removed: tuple[str, ...]
    edits: dict[str, tuple[TextEdit, ...]]
    digest: bytes

    def apply(self, old: ConfigurationRecord) -> ConfigurationRecord | None:
        """Returns the later record, or None if the delta does not fit."""
        if old.revision != self.base or not self.changes:
            return None
        files = old.texts.files()
        for name, edits in self.edits.items():
            files[name] = edit(files.get(name, ''), edits)
        for name in self.removed:
            files.pop(name, None)
        if BASE_FILE not in files:
            return None
        record = _successor(old, self.changes, files)
        return record if record_digest(record) == self.digest else None


def make_delta(old: ConfigurationRecord, new: ConfigurationRecord) -> Delta:
    """Computes the delta from one record to a later one."""
    before, after = old.texts.files(), new.texts.files()
    edits = {
        name: compare(before.get(name, ''), text)
        for name, text in after.items()
        if before.get(name) != text
    }
    return Delta(
        base=old.revision,
        changes=tuple(
            change for change in new.changes if change.revision > old.revision
        ),
        removed=tuple(sorted(before.keys() - after.keys())),
        edits=edits,
        digest=record_digest(new),
    )


def _successor(
    old: ConfigurationRecord,
    changes: tuple[Change, ...],
    files: dict[str, str],
) -> ConfigurationRecord:
    all_changes = (*old.changes, *changes)
    texts = texts_from_files(files)
    return ConfigurationRecord(
        change=all_changes[-1],
        texts=texts,
        history=all_changes[-HISTORY_LENGTH - 1 : -1],
    )
