"""Interface of the ``config`` commands to files and the store."""

from collections.abc import Sequence
from pathlib import Path
from typing import Protocol

from msgspec import Struct
from result import Result

from anvilthread.configuration.key_change import KeyChange
from anvilthread.error import AnvilthreadError
from anvilthread.file_fault import FileFault


class RevisionSummary(Struct, frozen=True, kw_only=True):
    """One revision of the configuration.

    Attributes:
        revision: Its number.
        change_id: Identifier of the change.
        operator: Name of the operator who applied it.
        wall_ms: Time at which it was applied, since the Unix epoch.
    """

    revision: int
    change_id: str
    operator: str
    wall_ms: int


class PendingChanges(Struct, frozen=True, kw_only=True):
    """What an apply would change.

    Attributes:
        revision: Revision in the store; 0 if there is none.
        keys: The keys whose values differ.
    """

    revision: int
    keys: Sequence[KeyChange]


class ConfigurationGateway(Protocol):
    """Access to configuration files and to the record in the store."""

    def check(self, directory: Path) -> Result[Sequence[str], AnvilthreadError]:
        """Checks base.toml and overlays.

        Returns:
            Names of the sites, or an error with every fault.
        """

    def review(
        self, directory: Path
    ) -> Result[Sequence[FileFault], AnvilthreadError]:
        """Entries of valid files that can never match, or contradict."""

    def pending_changes(
        self, directory: Path
    ) -> Result[PendingChanges, AnvilthreadError]:
        """The keys that differ from the version in the store."""

    def apply(
        self,
        directory: Path,
        *,
        operator: str,
        revision: int | None,
        supersede: bool,
    ) -> Result[RevisionSummary, AnvilthreadError]:
        """Checks the files and makes them the next revision.

        Args:
            directory: Directory of the files.
            operator: Name of the operator who applies them.
            revision: Revision that the files are based on; None only for
                the first one.
            supersede: Whether to number the change above the revisions of the
                nodes, although the store has lost those.
        """

    def show(self, *, site: str) -> Result[str, AnvilthreadError]:
        """The configuration in the store as TOML.

        Args:
            site: Site whose overlay is applied; empty for the base.
        """

    def diff(self, directory: Path) -> Result[str, AnvilthreadError]:
        """What an apply would change, as a unified diff; empty for nothing."""

    def history(self) -> Result[Sequence[RevisionSummary], AnvilthreadError]:
        """The recent revisions, newest first."""
