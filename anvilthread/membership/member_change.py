"""One change of the member table."""

from anvilthread.membership.member import Member


class MemberChange:
    """A member before and after a change.

    Args:
        before: None if the member was unknown.
        after: None if the member has been forgotten.
    """

    __slots__ = ('_after', '_before')

    def __init__(self, *, before: Member | None, after: Member | None) -> None:
        self._before = before
        self._after = after

    @property
    def before(self) -> Member | None:
        """The member before the change."""
        return self._before

    @property
    def after(self) -> Member | None:
        """The member after the change."""
        return self._after
