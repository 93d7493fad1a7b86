"""Parsing and packing of addresses."""

import pytest

from anvilthread.address import Address


@pytest.mark.parametrize(
    'text',
    ['127.0.0.1:0', '192.0.2.1:4433', '255.255.255.255:65535'],
)
def test_parse_and_pack_round_trip(text: str) -> None:
    """Guards against an address that changes on the wire."""
    address = Address.parse(text).unwrap()
    assert str(address) == text
    assert Address.unpack(address.pack()) == address


@pytest.mark.parametrize(
    'text',
    ['', 'localhost:1', '192.0.2.1', '192.0.2.1:', '192.0.2.1:65536', ':1'],
)
def test_malformed_text_names_the_remedy(text: str) -> None:
    """Guards against settings with unusable addresses being accepted."""
    error = Address.parse(text).unwrap_err()
    assert repr(text) in error.reason
    assert '192.0.2.1:4433' in error.remedy
