"""The firm that the tests of a module share."""

from collections.abc import Iterator

import pytest

from tests.processes.firm import Firm


@pytest.fixture(scope='module')
def shared_firm(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Firm]:
    """One firm for all tests of a module."""
    firm = Firm(directory=tmp_path_factory.mktemp('firm') / 'firm')
    try:
        firm.start()
        yield firm
    finally:
        firm.end()


@pytest.fixture
def firm(shared_firm: Firm) -> Iterator[Firm]:
    """The firm of the module without clients of earlier tests."""
    yield shared_firm
    shared_firm.close_clients()
