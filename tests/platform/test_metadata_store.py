"""The client of the platform's store against a stand-in."""

from collections.abc import Iterator

import pytest
from configuration_source import PlatformConfigurationSource
from metadata_store import MetadataStore
from result import Err, Ok
from store_directory import StoreDirectory

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.store import (
    StoreAnswerLost,
    StoreConflict,
    StoreRefused,
    StoreUnavailable,
)
from standins.free_port import free_port
from standins.metadata_server import MetadataServer

_TIMEOUT_MS = 200


@pytest.fixture
def server() -> Iterator[MetadataServer]:
    """A store on loopback."""
    started = MetadataServer(endpoint=('127.0.0.1', free_port()))
    started.start()
    yield started
    started.stop()


@pytest.fixture
def store(server: MetadataServer) -> MetadataStore:
    """A client of the store."""
    return MetadataStore(
        address=Address(host='127.0.0.1', port=server.port),
        clock=SystemClock(),
        timeout_ms=_TIMEOUT_MS,
    )


def test_compare_and_swap(store: MetadataStore) -> None:
    """Guards against a write over a value that another has changed."""
    assert isinstance(store.put('a', b'1', 0), Ok)
    revision = store.get('a').unwrap().revision
    assert isinstance(store.put('a', b'2', revision), Ok)
    lost = store.put('a', b'3', revision)
    assert isinstance(lost, Err)
    assert isinstance(lost.err_value, StoreConflict)
    assert store.get('a').unwrap().value == b'2'


def test_missing_key(store: MetadataStore) -> None:
    """Guards against a missing key mistaken for an empty value."""
    snapshot = store.get('nothing').unwrap()
    assert snapshot.value is None
    assert snapshot.revision == 0


@pytest.mark.parametrize(
    ('mode', 'read_error', 'write_error'),
    [
        ('silent', StoreUnavailable, StoreAnswerLost),
        ('busy', StoreUnavailable, StoreUnavailable),
    ],
)
def test_read_and_write_failures_are_distinguished(
    server: MetadataServer,
    store: MetadataStore,
    mode: str,
    read_error: type,
    write_error: type,
) -> None:
    """Guards against a write reported as undone that may have taken effect."""
    server.mode = mode
    read = store.get('a')
    assert isinstance(read, Err)
    assert isinstance(read.err_value, read_error)
    written = store.put('a', b'1', 0)
    assert isinstance(written, Err)
    assert isinstance(written.err_value, write_error)


def test_refused_connection() -> None:
    """Guards against a crash when the connection is refused."""
    store = MetadataStore(
        address=Address(host='127.0.0.1', port=free_port()),
        clock=SystemClock(),
        timeout_ms=_TIMEOUT_MS,
    )
    answer = store.get('a')
    assert isinstance(answer, Err)
    assert not isinstance(answer.err_value, StoreRefused)


def test_directory_lists_each_host_once(store: MetadataStore) -> None:
    """Guards against a restarted node that fails on its existing entry."""
    directory = StoreDirectory(store=store)
    for host in ('10.0.0.1', '10.0.0.2', '10.0.0.1'):
        assert isinstance(directory.register(host), Ok)
    assert directory.hosts().unwrap() == ['10.0.0.1', '10.0.0.2']


def test_lease(store: MetadataStore) -> None:
    """Guards against a lease that cannot be renewed or released."""
    lease = store.acquire('leader', 3000).unwrap()
    assert isinstance(store.renew(lease), Ok)
    second = store.acquire('leader', 3000)
    assert isinstance(second, Err)
    assert isinstance(second.err_value, StoreConflict)
    assert isinstance(store.release(lease), Ok)
    renewed = store.renew(lease)
    assert isinstance(renewed, Err)
    assert isinstance(renewed.err_value, StoreConflict)
    assert isinstance(store.acquire('leader', 3000), Ok)


@pytest.mark.parametrize('document', [None, b'{', b'{"version": 1}'])
def test_configuration_that_cannot_be_read(
    server: MetadataServer, store: MetadataStore, document: bytes | None
) -> None:
    """Guards against a crash on a missing or malformed configuration."""
    if document is not None:
        server.write('op/config', document)
    source = PlatformConfigurationSource(store=store, node_port=1)
    assert isinstance(source.read(), Err)


def test_refused_write(store: MetadataStore) -> None:
    """Guards against a crash on a write that the store does not allow."""
    written = store.put('op/config', b'1', 0)
    assert isinstance(written, Err)
    assert isinstance(written.err_value, StoreRefused)


def test_era_is_reported_with_every_answer(server: MetadataServer) -> None:
    """Guards against a restore that goes unnoticed, even while calls fail."""
    eras: list[int] = []
    store = MetadataStore(
        address=Address(host='127.0.0.1', port=server.port),
        clock=SystemClock(),
        timeout_ms=_TIMEOUT_MS,
        on_era=eras.append,
    )
    store.get('a')
    server.restore_copy(server.save_copy())
    store.create('b')
    server.restore_copy(server.save_copy())
    server.mode = 'busy'
    store.keys('')
    assert eras == [1, 2, 3]


@pytest.mark.parametrize('text', ['', '-1', '1.5', 'x', '9' * 5000])
def test_malformed_era_is_ignored(
    server: MetadataServer, store: MetadataStore, text: str
) -> None:
    """Guards against a crash on a header that is not a number."""
    server.era = text  # type: ignore[assignment]
    assert isinstance(store.put('a', b'1', 0), Ok)
    assert store.get('a').unwrap().value == b'1'
