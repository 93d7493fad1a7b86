"""Errors of calls to the store."""

from anvilthread.error import AnvilthreadError


class StoreError(AnvilthreadError):
    """A call to the store did not succeed."""


class StoreConflict(StoreError):
    """Another writer was first; the call had no effect."""

    def __init__(self, *, key: str) -> None:
        super().__init__(
            reason=f'another writer changed {key!r} first',
            remedy='read it again and repeat the change',
        )


class StoreRefused(StoreError):
    """The store refused the call without effect and would refuse a retry."""


class StoreUnavailable(StoreError):
    """The call had no effect and may succeed later."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            reason=f'the store is unavailable: {reason}',
            remedy='try again later; nothing was changed',
        )


class StoreAnswerLost(StoreError):
    """The write may have taken effect, or may still do so a little later."""

    def __init__(self, *, reason: str) -> None:
        super().__init__(
            reason=f'the answer of the store was lost: {reason}',
            remedy='read back to see whether the write took effect',
        )
