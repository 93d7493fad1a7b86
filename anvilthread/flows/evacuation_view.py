"""The sites that the operator has asked to evacuate."""

from typing import Final

import msgspec

#: Longest name of a site in bytes; the names are parts of host names.
_MAX_SITE_BYTES: Final = 63

#: Bytes that the sites of a view may take in a hello, which is one datagram of
#: 1,200 bytes at most with up to 150 bytes of other fields.
_MAX_HELLO_BYTES: Final = 1000

#: Bytes by which the encoding of a name exceeds the name.
_NAME_OVERHEAD_BYTES: Final = 2


class EvacuationView(
    msgspec.Struct, frozen=True, array_like=True, kw_only=True, gc=False
):
    """The evacuated sites as of one state of the store.

    Attributes:
        era: Era of the store.
        revision: Revision of the store within the era.
        sites: Names of the evacuated sites, in order.
    """

    era: int
    revision: int
    sites: tuple[str, ...]

    @property
    def order(self) -> tuple[int, int]:
        """The view with the higher order replaces the other one."""
        return self.era, self.revision

    @property
    def is_valid(self) -> bool:
        """Whether numbers and names are possible ones."""
        if self.era < 0 or self.revision < 0:
            return False
        return all(map(is_site_name, self.sites))

    @property
    def fits_hello(self) -> bool:
        """Whether the view can be part of a hello.

        Nodes that cannot learn a larger one from hellos read the store.
        """
        size = sum(
            len(site.encode()) + _NAME_OVERHEAD_BYTES for site in self.sites
        )
        return size <= _MAX_HELLO_BYTES


def is_site_name(name: str) -> bool:
    """Whether a name is plausible for a site.

    An unknown name has no effect, and a site that is not evacuated because of
    an unusual name is the worse error, so the check is wide.
    """
    has_separator = any(it.isspace() or it == '/' for it in name)
    if not name or has_separator or not name.isprintable():
        return False
    return len(name.encode()) <= _MAX_SITE_BYTES
