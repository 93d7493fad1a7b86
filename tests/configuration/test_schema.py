"""Schema of the operators' configuration and its error messages."""

from pathlib import Path

import pytest
from hypothesis import given, settings, strategies
from result import Err, Ok
from syrupy.assertion import SnapshotAssertion

from anvilthread.address import Address
from anvilthread.configuration import (
    ConfigurationTexts,
    load_configurations,
    load_site,
    texts_from_files,
)

_EXAMPLES = Path(__file__).parents[2] / 'examples' / 'configuration'

_BASE = """
[sites.kgn-a]
[services.depot-feed]
number = 1
addresses = ["10.40.0.1:443"]
sites = ["kgn-a"]
"""

_SECOND = """
[services.catalogue]
number = {number}
addresses = ["{address}"]
sites = ["{site}"]
"""


def _messages(base: str, **overlays: str) -> str:
    outcome = load_configurations(
        ConfigurationTexts(
            base=base,
            overlays={
                name.replace('_', '-'): text for name, text in overlays.items()
            },
        )
    )
    return str(outcome.unwrap_err())


@pytest.mark.parametrize(
    'base',
    [
        '[sites.kgn-a',
        '',
        'sites = 3\nservices = []',
        f'{_BASE}queue_limits = 4\ncolour = "red"\nqueue_limit = "x"',
        f'{_BASE}non_idempotent = ["POST", "get /x"]\nstream_paths = "/x"',
        f'{_BASE}[services.depot-feed.objectives]\nlatency_share = 1.5',
        _BASE.replace('number = 1', 'number = 65536'),
        _BASE.replace('10.40.0.1:443', '10.40.0.300:443'),
        _BASE.replace('"10.40.0.1:443"', '443'),
        _BASE.replace('depot-feed', 'Depot'),
        _BASE + _SECOND.format(number=1, address='10.0.0.1:1', site='kgn-a'),
        _BASE + _SECOND.format(number=2, address='10.40.0.1:443', site='kgn-z'),
    ],
)
def test_errors_in_the_base(base: str, snapshot: SnapshotAssertion) -> None:
    """Guards against errors that hide others or lack their place or remedy."""
    assert _messages(base) == snapshot


@pytest.mark.parametrize(
    'overlay',
    [
        'not toml',
        '[services.depot-feed]\nnumber = 2\nsites = ["kgn-a"]',
        '[services.depot-fed]\nqueue_limit = 2',
        '[sites.kgn-b]',
        '[services.depot-feed]\nqueue_limit = 0',
        '[services.depot-feed]\naddresses = ["10.40.0.9:443"]',
    ],
)
def test_errors_in_an_overlay(
    overlay: str, snapshot: SnapshotAssertion
) -> None:
    """Guards against sites that disagree on numbers, sites or services."""
    second = _SECOND.format(number=2, address='10.40.0.9:443', site='kgn-a')
    assert _messages(_BASE + second, kgn_a=overlay) == snapshot


def test_overlay_of_unknown_site(snapshot: SnapshotAssertion) -> None:
    """Guards against an overlay that is silently ignored."""
    assert _messages(_BASE, kgn_q='') == snapshot


def test_overlay_changes_only_what_it_names() -> None:
    """Guards against an overlay that resets the values it does not name."""
    texts = ConfigurationTexts(
        base=f'{_BASE}deadline_ms = 7\n[sites.kgn-b]',
        overlays={'kgn-a': '[services.depot-feed]\nqueue_limit = 5'},
    )
    loaded = load_configurations(texts).unwrap()
    overlaid = loaded['kgn-a'].services['depot-feed']
    unchanged = loaded['kgn-b'].services['depot-feed']
    assert (overlaid.deadline_ms, overlaid.queue_limit) == (7, 5)
    assert (unchanged.deadline_ms, unchanged.queue_limit) == (7, 64)
    assert load_site(texts, 'kgn-a').unwrap() == loaded['kgn-a']
    assert loaded['kgn-b'].carried_at('kgn-b') == {}


@pytest.mark.parametrize(
    ('firm', 'sites', 'services'),
    [
        (
            'adjei-mensah',
            {'tema-plant', 'spintex-depot', 'kaneshie-office'},
            {'bookings', 'dispatch', 'statements'},
        ),
        (
            'blue-mahoe',
            {'kgn-a', 'kgn-b', 'kgn-c'},
            {'depot-feed', 'catalogue'},
        ),
    ],
)
def test_examples_are_valid(
    firm: str, sites: set[str], services: set[str]
) -> None:
    """Guards against examples that operators cannot apply."""
    files = {
        path.name: path.read_text()
        for path in (_EXAMPLES / firm).glob('*.toml')
    }
    loaded = load_configurations(texts_from_files(files)).unwrap()
    assert set(loaded) == sites
    for configuration in loaded.values():
        assert set(configuration.services) == services


def test_requests_are_matched_by_method_and_path() -> None:
    """Guards against non-idempotent retries and streams that occupy a slot."""
    files = {
        path.name: path.read_text()
        for path in (_EXAMPLES / 'blue-mahoe').glob('*.toml')
    }
    configuration = load_site(texts_from_files(files), 'kgn-a').unwrap()
    feed = configuration.services['depot-feed']
    assert not feed.is_idempotent('POST', '/reserve/7')
    assert feed.is_idempotent('GET', '/reserve/7')
    assert not feed.takes_slot('/stock/stream')
    assert feed.takes_slot('/stock')
    assert configuration.number_at(Address(host='10.40.0.2', port=443)) == 2
    assert configuration.name_of(1) == 'depot-feed'


_json = strategies.recursive(
    strategies.one_of(
        strategies.integers(-(2**40), 2**40),
        strategies.booleans(),
        strategies.text('ab:/. ', max_size=4),
    ),
    lambda inner: strategies.dictionaries(
        strategies.sampled_from(
            ['sites', 'services', 'a', 'number', 'addresses', 'limits']
        ),
        inner,
        max_size=3,
    ),
    max_leaves=6,
)


def _toml(tables: object) -> str:
    if isinstance(tables, dict):
        pairs = [f'{key} = {_toml(one)}' for key, one in tables.items()]
        return f'{{{", ".join(pairs)}}}'
    if isinstance(tables, str):
        return f"'{tables}'"
    return str(tables).lower()


@settings(derandomize=True, max_examples=200, deadline=None)
@given(sites=_json, services=_json, overlay=_json)
def test_any_toml_gives_errors_or_a_result(
    sites: object, services: object, overlay: object
) -> None:
    """Guards against a crash on input that nobody thought of."""
    outcome = load_configurations(
        ConfigurationTexts(
            base=f'sites = {_toml(sites)}\nservices = {_toml(services)}',
            overlays={'a': f'services = {_toml(overlay)}'},
        )
    )
    assert isinstance(outcome, Ok | Err)
