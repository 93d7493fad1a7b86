"""A condition that ties a write to the content that it replaces."""

from msgspec import Struct


class WriteGuard(Struct, frozen=True, kw_only=True):
    """A key beside a value, created in the same transaction as the value.

    Its name stands for the content. A revision alone does not: after a
    restore from an older copy, the store may give the same number to other
    content. The guard key exists at that revision only beside the content
    that it was created with.

    Attributes:
        replaced: Guard key of the content to replace, which the write
            removes; empty if there is none.
        created: Guard key of the new content.
    """

    replaced: str
    created: str
