"""Reading of evacuated sites from a stand-in of the platform's store."""

from collections.abc import Iterator

import pytest
from configuration_source import PlatformConfigurationSource
from http_response import HttpResponse
from metadata_store import MetadataStore
from result import Err, Ok, Result
from store_ranges import StoreRanges
from stored_range import decode_range

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.store import CallKind, StoreError
from standins.free_port import free_port
from standins.metadata_server import MetadataServer

_DOCUMENT = b'{"version": 3, "routes": []}'


@pytest.fixture
def server() -> Iterator[MetadataServer]:
    """A store on loopback, with a configuration."""
    started = MetadataServer(endpoint=('127.0.0.1', free_port()))
    started.start()
    started.write('op/config', _DOCUMENT)
    yield started
    started.stop()


def _source(
    server: MetadataServer, *, reads_evacuations: bool = True
) -> PlatformConfigurationSource:
    store = MetadataStore(
        address=Address(host='127.0.0.1', port=server.port),
        clock=SystemClock(),
        timeout_ms=300,
    )
    return PlatformConfigurationSource(
        store=store, node_port=1, reads_evacuations=reads_evacuations
    )


def _read(server: MetadataServer) -> EvacuationView:
    reading = _source(server).read().unwrap()
    assert reading.configuration.unwrap().version == 3
    assert reading.evacuation is not None
    return reading.evacuation


@pytest.mark.parametrize(
    ('reads_evacuations', 'path'), [(False, '/kv-key'), (True, '/kv-range')]
)
def test_all_is_read_in_one_call(
    server: MetadataServer, reads_evacuations: bool, path: str
) -> None:
    """Guards against a second call per second, and other calls elsewhere."""
    server.write('op/evacuate/b', b'{}')
    source = _source(server, reads_evacuations=reads_evacuations)
    reading = source.read().unwrap()
    assert isinstance(reading.configuration, Ok)
    assert server.calls == {path: 1}
    assert (reading.evacuation is None) is not reads_evacuations


def test_request_and_its_removal_are_read(server: MetadataServer) -> None:
    """Guards against a removal that does not replace the request."""
    before = _read(server)
    server.write('op/evacuate/b', b'{}')
    requested = _read(server)
    server.remove('op/evacuate/b')
    removed = _read(server)
    assert before.sites == removed.sites == ()
    assert requested.sites == ('b',)
    assert before.order < requested.order < removed.order


def test_restored_store_has_a_higher_order(server: MetadataServer) -> None:
    """Guards against a restored store whose views are ignored for ever."""
    copy = server.save_copy()
    server.write('op/evacuate/b', b'{}')
    requested = _read(server)
    server.restore_copy(copy)
    restored = _read(server)
    assert restored.sites == ()
    assert restored.revision < requested.revision
    assert restored.order > requested.order


@pytest.mark.parametrize('page_size', [1, 2, 7, 500])
def test_all_pages_are_read(server: MetadataServer, page_size: int) -> None:
    """Guards against a site on a later page that is not evacuated."""
    server.page_size = page_size
    for site in ('d', 'a', 'c', 'b'):
        server.write(f'op/evacuate/{site}', b'{}')
    server.write('op/other', b'x')
    assert _read(server).sites == ('a', 'b', 'c', 'd')


@pytest.mark.parametrize(
    'name', ['', ' ', 'x y', 'x/y', 'x\0', 'x' * 64, 'é' * 32]
)
def test_implausible_name_is_ignored(server: MetadataServer, name: str) -> None:
    """Guards against a name that hides the other sites or is never logged."""
    server.write('op/evacuate/a', b'{}')
    server.write(f'op/evacuate/{name}', b'{}')
    server.write('op/evacuate/zürich_2.b', b'not read')
    reading = _source(server).read().unwrap()
    assert reading.evacuation is not None
    assert reading.evacuation.sites == ('a', 'zürich_2.b')
    assert reading.ignored == (name,)


@pytest.mark.parametrize('document', [b'', b'{', b'{"version": 1}', None])
def test_configuration_that_cannot_be_used(
    server: MetadataServer, document: bytes | None
) -> None:
    """Guards against evacuations that an unusable configuration hides."""
    server.write('op/evacuate/a', b'{}')
    if document is None:
        server.remove('op/config')
    else:
        server.write('op/config', document)
    reading = _source(server).read().unwrap()
    assert isinstance(reading.configuration, Err)
    assert reading.evacuation is not None
    assert reading.evacuation.sites == ('a',)


@pytest.mark.parametrize('mode', ['silent', 'busy'])
def test_unavailable_store(server: MetadataServer, mode: str) -> None:
    """Guards against a failed call that is taken for a view without sites."""
    server.write('op/evacuate/a', b'{}')
    server.mode = mode
    assert isinstance(_source(server).read(), Err)


class _Pages:
    """Answers the calls for pages one after the other."""

    def __init__(self, *pages: tuple[int, str]) -> None:
        self._pages = list(pages)

    def call(
        self, _kind: CallKind, _method: str, _path: str
    ) -> Result[HttpResponse, StoreError]:
        era, body = self._pages.pop(0)
        return Ok(
            HttpResponse(
                status=200,
                body=body.encode(),
                headers={'store-era': str(era)},
            )
        )


def _page(at: int, *keys: str, has_more: bool = False) -> str:
    items = ','.join(f'{{"key": "{key}", "value": ""}}' for key in keys)
    more = 'true' if has_more else 'false'
    return f'{{"items": [{items}], "has_more": {more}, "at": {at}}}'


_EMPTY_PAGE = (1, _page(5, has_more=True))
_PAGE = (1, _page(5, 'b', has_more=True))


def test_revision_of_the_first_page_applies() -> None:
    """Guards against a change between pages that seems to be in the view.

    The next read has a higher revision, and so replaces this one.
    """
    pages = _Pages((1, _page(5, 'a', has_more=True)), (1, _page(9, 'b')))
    stored = StoreRanges(calls=pages).items('op/').unwrap()  # type: ignore[arg-type]
    assert stored.revision == 5
    assert list(stored.entries) == ['a', 'b']


@pytest.mark.parametrize(
    'pages',
    [
        pytest.param([_EMPTY_PAGE, _EMPTY_PAGE], id='empty page'),
        pytest.param([_PAGE, _PAGE], id='the same page again'),
        pytest.param(
            [(1, _page(5, 'a', has_more=True)), (2, _page(3, 'b'))],
            id='restored between pages',
        ),
        pytest.param(
            [(1, _page(5, 'a', has_more=True)), (1, '{')], id='malformed page'
        ),
        pytest.param([(1, '{"items": []}')], id='no revision'),
        pytest.param([(1, '{"at": 5}')], id='no items'),
        pytest.param([(1, _page(-5))], id='impossible revision'),
    ],
)
def test_incomplete_range_does_not_count(pages: list[tuple[int, str]]) -> None:
    """Guards against sites that return to service as their page is missing."""
    calls = _Pages(*pages)
    ranges = StoreRanges(calls=calls)  # type: ignore[arg-type]
    assert isinstance(ranges.items('op/'), Err)


@pytest.mark.parametrize('item', ['{"key": 7}', '{}', 'null', '[]'])
def test_odd_item_costs_no_other(item: str) -> None:
    """Guards against a range that is refused whole for one of its items."""
    body = f'{{"items": [{{"key": "b"}}, {item}, {{"key": "c"}}], "at": 1}}'
    response = HttpResponse(status=200, body=body.encode())
    assert list(decode_range(response).unwrap().entries) == ['b', 'c']


@pytest.mark.parametrize('value', ['7', 'null', '"%"', '"YQ"'])
def test_odd_value_is_missing(value: str) -> None:
    """Guards against a crash on a value that is not base64."""
    body = f'{{"items": [{{"key": "b", "value": {value}}}], "at": 1}}'
    response = HttpResponse(status=200, body=body.encode())
    assert decode_range(response).unwrap().value_of('b') is None
