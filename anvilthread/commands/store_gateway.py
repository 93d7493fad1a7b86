"""Implementation of the ``config`` commands on files and the store."""

import uuid
from collections.abc import Callable, Sequence
from pathlib import Path
from random import SystemRandom

from result import Err, Ok, Result

from anvilthread.clock import SystemClock
from anvilthread.commands.configuration_gateway import (
    PendingChanges,
    RevisionSummary,
)
from anvilthread.configuration import (
    STORE_KEY,
    Applier,
    Change,
    ConfigurationRecord,
    ConfigurationTexts,
    Proposal,
    decode_record,
    diff_texts,
    list_changes,
    load_configurations,
    review_texts,
    texts_from_files,
)
from anvilthread.configuration.texts import BASE_FILE
from anvilthread.daemon.local_configuration import read_texts
from anvilthread.error import AnvilthreadError
from anvilthread.file_fault import FileFault
from anvilthread.store.consul_store import ConsulStore


class RevisionMissingError(AnvilthreadError):
    """The operator did not give the revision that the files are based on."""


class StoreGateway:
    """Reads and changes the record in the store.

    Args:
        url: URL of the store; empty for commands that only read files.
        node_revision: Returns the highest revision that nodes hold.
    """

    __slots__ = ('_clock', '_node_revision', '_store')

    def __init__(
        self, *, url: str, node_revision: Callable[[], int] = int
    ) -> None:
        self._clock = SystemClock()
        self._store = ConsulStore(url=url, clock=self._clock)
        self._node_revision = node_revision

    def check(self, directory: Path) -> Result[Sequence[str], AnvilthreadError]:
        """Checks base.toml and overlays; returns the sites."""
        texts = read_texts(directory)
        if isinstance(texts, Err):
            return texts
        loaded = load_configurations(texts.ok_value)
        if isinstance(loaded, Err):
            return Err(loaded.err_value)
        return Ok(sorted(loaded.ok_value))

    def review(
        self, directory: Path
    ) -> Result[Sequence[FileFault], AnvilthreadError]:
        """Entries of valid files that can never match, or contradict."""
        return read_texts(directory).map(review_texts)

    def pending_changes(
        self, directory: Path
    ) -> Result[PendingChanges, AnvilthreadError]:
        """The keys that differ from the version in the store."""
        pair = self._read_pair(directory)
        if isinstance(pair, Err):
            return pair
        revision, stored, texts = pair.ok_value
        changes = list_changes(stored, texts)
        return Ok(PendingChanges(revision=revision, keys=changes))

    def apply(
        self,
        directory: Path,
        *,
        operator: str,
        revision: int | None,
        supersede: bool,
    ) -> Result[RevisionSummary, AnvilthreadError]:
        """Checks the files and makes them the next revision."""
        texts = read_texts(directory)
        if isinstance(texts, Err):
            return texts
        expected = self._expected_revision(texts.ok_value, revision)
        if isinstance(expected, Err):
            return expected
        applier = Applier(
            store=self._store,
            clock=self._clock,
            random=SystemRandom(),
            peer_revision=self._node_revision,
        )
        applied = applier.apply(
            Proposal(
                texts=texts.ok_value,
                expected=expected.ok_value,
                change_id=uuid.uuid4().hex,
                operator=operator,
                supersede=supersede,
            )
        )
        if isinstance(applied, Err):
            return Err(applied.err_value)
        return Ok(_summary(applied.ok_value.record.change))

    def show(self, *, site: str) -> Result[str, AnvilthreadError]:
        """The files in the store; with a site, the base and its overlay."""
        record = self._read_record()
        if isinstance(record, Err):
            return record
        if record.ok_value is None:
            return Ok('')
        texts = record.ok_value.texts
        files = texts.files()
        if site:
            site_files = (BASE_FILE, f'{site}.toml')
            files = {name: files[name] for name in site_files if name in files}
        head = f'# revision {record.ok_value.revision}'
        parts = [f'# {name}\n{text.strip()}' for name, text in files.items()]
        return Ok('\n\n'.join((head, *parts)))

    def diff(self, directory: Path) -> Result[str, AnvilthreadError]:
        """What an apply would change, as a unified diff."""
        pair = self._read_pair(directory)
        if isinstance(pair, Err):
            return pair
        _, stored, texts = pair.ok_value
        return Ok(diff_texts(stored, texts, 'yours'))

    def history(self) -> Result[Sequence[RevisionSummary], AnvilthreadError]:
        """The recent revisions, newest first."""
        record = self._read_record()
        if isinstance(record, Err):
            return record
        if record.ok_value is None:
            return Ok(())
        return Ok(
            [_summary(change) for change in reversed(record.ok_value.changes)]
        )

    def _expected_revision(
        self, texts: ConfigurationTexts, revision: int | None
    ) -> Result[int, AnvilthreadError]:
        if revision is not None:
            return Ok(revision)
        record = self._read_record()
        if isinstance(record, Err):
            return record
        stored = record.ok_value
        if stored is None or stored.texts == texts:
            return Ok(stored.revision if stored else 0)
        # Without the revision, a change of another operator that these files
        # do not contain would be reverted silently.
        return Err(
            RevisionMissingError(
                reason=f'the store holds revision {stored.revision}',
                remedy='read `config diff`, then give the revision that your '
                f'files are based on, for example --revision {stored.revision}',
            )
        )

    def _read_pair(
        self, directory: Path
    ) -> Result[
        tuple[int, ConfigurationTexts, ConfigurationTexts], AnvilthreadError
    ]:
        """Returns the revision and files in the store, and those given."""
        texts = read_texts(directory)
        if isinstance(texts, Err):
            return texts
        record = self._read_record()
        if isinstance(record, Err):
            return record
        stored = record.ok_value
        if stored is None:
            empty = texts_from_files({BASE_FILE: ''})
            return Ok((0, empty, texts.ok_value))
        return Ok((stored.revision, stored.texts, texts.ok_value))

    def _read_record(
        self,
    ) -> Result[ConfigurationRecord | None, AnvilthreadError]:
        entry = self._store.get(STORE_KEY)
        if isinstance(entry, Err):
            return Err(entry.err_value)
        content = entry.ok_value.value
        if content is None:
            return Ok(None)
        decoded = decode_record(content)
        if isinstance(decoded, Err):
            return Err(decoded.err_value)
        return Ok(decoded.ok_value)


def _summary(change: Change) -> RevisionSummary:
    return RevisionSummary(
        revision=change.revision,
        change_id=change.change_id,
        operator=change.operator,
        wall_ms=change.applied_ms,
    )
