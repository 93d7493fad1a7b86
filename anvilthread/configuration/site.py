"""One site of the operators' configuration."""

from msgspec import Struct


class Site(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A site that nodes may name in their settings.

    Attributes:
        description: Text for operators.
    """

    description: str = ''
