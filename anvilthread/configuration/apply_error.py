"""Errors of applying a change."""

from anvilthread.error import AnvilthreadError


class ApplyError(AnvilthreadError):
    """The change is not known to be in the store."""


class ApplyConflict(ApplyError):
    """Another operator changed the configuration first.

    Args:
        expected: Revision that the change is based on.
        found: Revision in the store.
        operator: Who made the latest change.
        difference: Unified diff from the store to the refused files.
    """

    def __init__(
        self, *, expected: int, found: int, operator: str, difference: str
    ) -> None:
        super().__init__(
            reason=f'the change was made for revision {expected}, but '
            f'{operator} has since applied revision {found}',
            remedy='read the configuration again, merge and apply again',
        )
        self._found = found
        self._difference = difference

    @property
    def found(self) -> int:
        """Revision in the store."""
        return self._found

    @property
    def difference(self) -> str:
        """Unified diff from the store to the refused files."""
        return self._difference


class ApplyRefused(ApplyError):
    """The change cannot be stored."""


class ApplyStoreBehind(ApplyError):
    """The store holds an older configuration than the nodes."""

    def __init__(self, *, stored: int, known: int) -> None:
        super().__init__(
            reason=f'the store holds revision {stored}, but revision {known} '
            'is in force; the store was restored from a backup',
            remedy='apply again after 3 s, when the nodes have written their '
            'record back; to replace that record, add --supersede',
        )


class ApplyUnavailable(ApplyError):
    """The store did not answer; nothing was changed."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            reason=f'nothing was changed, {reason}',
            remedy='apply again when the store answers',
        )


class ApplyUnknown(ApplyError):
    """A write was sent to the store, but its answer was lost."""

    def __init__(self, *, change_id: str, reason: str) -> None:
        super().__init__(
            reason=f'change {change_id} may have been made, {reason}',
            remedy='apply again with the same change ID; it is made only once',
        )
