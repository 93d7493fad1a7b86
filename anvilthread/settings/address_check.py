"""Consistency rules for the addresses of one process."""

from collections.abc import Iterator, Mapping
from typing import Any, Final

from anvilthread.address import Address
from anvilthread.file_fault import FileFault
from anvilthread.settings.field_reader import FieldReader

_WILDCARD: Final = '0.0.0.0'  # noqa: S104
#: Addresses that are announced to other nodes and must be reachable by them.
_ANNOUNCED: Final = ('control', 'data', 'request')
#: Pairs with the same transport protocol, which cannot share a socket.
_EXCLUSIVE_PAIRS: Final = (('data', 'control'), ('metrics', 'request'))


def check_addresses(
    settings: Mapping[str, Any], reader: FieldReader
) -> Iterator[FileFault]:
    """Yields the faults of unreachable or conflicting addresses.

    Args:
        settings: Converted values by key; keys with faults are absent.
        reader: Creates the faults.
    """
    for key in _ANNOUNCED:
        address = settings.get(key)
        if address is not None and not _is_reachable(address):
            yield reader.fault(
                key,
                f'{address} cannot be reached by other nodes',
                'give the IP of this VM and a port other than 0',
            )
    for key, other in _EXCLUSIVE_PAIRS:
        address = settings.get(key)
        if address is not None and address == settings.get(other):
            yield reader.fault(
                key,
                f'{address} is also the address of `{other}`',
                'give it a port of its own',
            )


def _is_reachable(address: Address) -> bool:
    return address.host != _WILDCARD and address.port > 0
