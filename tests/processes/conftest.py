"""The cluster that the tests of a module share."""

from collections.abc import Iterator

import pytest

from tests.processes.cluster_harness import ClusterHarness


@pytest.fixture(scope='module')
def shared_harness(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ClusterHarness]:
    """One cluster for all tests of a module."""
    harness = ClusterHarness(directory=tmp_path_factory.mktemp('firm') / 'firm')
    try:
        harness.start()
        yield harness
    finally:
        harness.end()


@pytest.fixture
def harness(shared_harness: ClusterHarness) -> Iterator[ClusterHarness]:
    """The cluster of the module, without clients of earlier tests."""
    yield shared_harness
    shared_harness.close_clients()
