"""A change that an operator wants to make."""

from msgspec import Struct

from anvilthread.configuration.texts import ConfigurationTexts


class Proposal(Struct, frozen=True, kw_only=True):
    """Files to put in force.

    Attributes:
        texts: The new files.
        expected: Revision that they are based on; 0 for the first.
        change_id: Identity of the change; a retry must use the same one.
        operator: Who makes the change.
        supersede: Whether to number the change above the revisions of the
            nodes, although the store has lost those.
    """

    texts: ConfigurationTexts
    expected: int
    change_id: str
    operator: str
    supersede: bool = False
