"""The attempts to apply one change."""

from result import Err, Ok, Result

from anvilthread.configuration.applied import Applied
from anvilthread.configuration.apply_error import (
    ApplyConflict,
    ApplyError,
    ApplyStoreBehind,
)
from anvilthread.configuration.difference import diff_texts
from anvilthread.configuration.invalid_configuration import (
    InvalidConfigurationError,
)
from anvilthread.configuration.proposal import Proposal
from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.store import StoreError, StoreUnavailable

Outcome = Result[Applied, ApplyError | InvalidConfigurationError]


class ApplyProgress:
    """Decides from the record in the store whether a change is settled.

    Args:
        proposal: The change.
    """

    __slots__ = ('_base_id', '_proposal', 'maybe_written')

    def __init__(self, *, proposal: Proposal) -> None:
        self._proposal = proposal
        self._base_id = ''
        #: Whether the answer of a write was lost.
        self.maybe_written = False

    def resolve(
        self, stored: ConfigurationRecord | None, known: int
    ) -> Outcome | StoreError | None:
        """Returns the outcome, or None if the change is yet to be written.

        Args:
            stored: Record in the store, if there is one.
            known: Highest revision known to nodes or to the operator.
        """
        applied = None if stored is None else self._find(stored)
        if applied is not None:
            return Ok(applied)
        revision = stored.revision if stored else 0
        if revision < known:
            resolved = self._resolve_behind(revision, known)
            if resolved is not None:
                return resolved
        elif stored is not None and stored.texts == self._proposal.texts:
            return Ok(Applied(revision=revision, is_new=False, record=stored))
        if stored is None or self._is_base(stored):
            return None
        return Err(self._conflict(stored))

    def _find(self, stored: ConfigurationRecord) -> Applied | None:
        change = stored.find(self._proposal.change_id)
        if change is None:
            return None
        return Applied(
            revision=change.revision, is_new=self.maybe_written, record=stored
        )

    def _resolve_behind(
        self, revision: int, known: int
    ) -> Outcome | StoreError | None:
        """Returns the outcome if the store holds less than the nodes."""
        proposal = self._proposal
        if proposal.supersede and revision == proposal.expected:
            return None
        # The nodes may already have the change whose answer was lost.
        if self.maybe_written:
            return StoreUnavailable(reason='it returned outdated data')
        return Err(ApplyStoreBehind(stored=revision, known=known))

    def _is_base(self, stored: ConfigurationRecord) -> bool:
        """Returns whether the change was made for a record.

        All attempts must find the same one: after a restore of the store,
        another record may have its revision.
        """
        if stored.revision != self._proposal.expected:
            return False
        self._base_id = self._base_id or stored.change.change_id
        return stored.change.change_id == self._base_id

    def _conflict(self, stored: ConfigurationRecord) -> ApplyConflict:
        return ApplyConflict(
            expected=self._proposal.expected,
            found=stored.revision,
            operator=stored.change.operator,
            difference=diff_texts(stored.texts, self._proposal.texts, 'yours'),
        )
