"""Entries of valid configurations that can have no effect."""

from pathlib import Path

import pytest

from anvilthread.configuration import (
    ConfigurationTexts,
    load_configurations,
    review_texts,
    texts_from_files,
)

_EXAMPLES = Path(__file__).parents[2] / 'examples' / 'configuration'

_BASE = """
[sites.kgn-a]
[sites.kgn-b]
[services.catalogue]
number = 2
addresses = ["10.40.0.2:443"]
sites = ["kgn-a"]
[services.depot-feed]
number = 1
addresses = ["10.40.0.1:443"]
sites = ["kgn-a", "kgn-b"]
"""

_KEY = 'services.depot-feed'


def _review(base: str, overlay: str = '') -> list[str]:
    texts = ConfigurationTexts(base=base, overlays={'kgn-b': overlay})
    assert load_configurations(texts).is_ok()
    return [str(finding) for finding in review_texts(texts)]


@pytest.mark.parametrize(
    ('lines', 'place', 'named'),
    [
        (
            'non_idempotent = ["POST /a/*", "POST /a/b"]',
            f'{_KEY}.non_idempotent',
            '"POST /a/b"',
        ),
        (
            'non_idempotent = ["POST /a/b*", "* /a/*"]',
            f'{_KEY}.non_idempotent',
            '"POST /a/b*"',
        ),
        ('stream_paths = ["/a", "/a"]', f'{_KEY}.stream_paths', '"/a"'),
        ('stream_paths = ["/a#b"]', f'{_KEY}.stream_paths', '"/a#b"'),
        ('deadline_ms = 500', f'{_KEY}.objectives.latency_ms', '1000 ms'),
        (
            'deadline_ms = 20000\nobjectives.latency_ms = 30000',
            f'{_KEY}.objectives.latency_ms',
            '30000 ms',
        ),
        (
            'retry_percent = 5\nnon_idempotent = ["* /*"]',
            f'{_KEY}.retry_percent',
            '5 percent',
        ),
        ('[sites.kgn-c]', 'sites.kgn-c', 'no service'),
        (
            '[services.x]\nnumber = 3\nsites = ["kgn-a"]\n'
            'addresses = ["10.0.0.3:1", "10.0.0.3:1", "10.0.0.3:1"]',
            'services.x.addresses',
            '10.0.0.3:1',
        ),
    ],
)
def test_finding_in_the_base(lines: str, place: str, named: str) -> None:
    """Guards against an entry without effect that no check names."""
    findings = _review(f'{_BASE}{lines}')
    assert len(findings) == 1
    assert findings[0].startswith(f'base.toml: {place}: ')
    reason, _, remedy = findings[0].partition('; ')
    assert named in reason
    assert remedy


@pytest.mark.parametrize(
    ('overlay', 'place'),
    [
        ('[services.catalogue]\nqueue_limit = 3', 'services.catalogue'),
        (
            f'[{_KEY}]\nstream_paths = ["/a/*", "/a/b"]',
            f'{_KEY}.stream_paths',
        ),
        # The overlay contradicts a value of the base.
        (f'[{_KEY}]\ndeadline_ms = 900', f'{_KEY}.objectives.latency_ms'),
        (f'[{_KEY}]\nnon_idempotent = ["* /*"]', f'{_KEY}.retry_percent'),
    ],
)
def test_finding_in_an_overlay(overlay: str, place: str) -> None:
    """Guards against a site whose overlay is never used or contradicts."""
    findings = _review(f'{_BASE}retry_percent = 5', overlay)
    assert len(findings) == 1
    assert findings[0].startswith(f'kgn-b.toml: {place}: ')


@pytest.mark.parametrize(
    ('lines', 'overlay'),
    [
        ('', ''),
        ('non_idempotent = ["POST /a", "PUT /a", "POST /a/*"]', ''),
        # Other wildcards match only some of what the text of a * covers.
        ('stream_paths = ["/a?/x?", "/a*/xy", "/[ab]/c"]', ''),
        ('non_idempotent = ["* /*"]', ''),
        ('retry_percent = 0\nnon_idempotent = ["* /*"]', ''),
        ('deadline_ms = 1000', f'[{_KEY}]\nqueue_limit = 9'),
    ],
)
def test_nothing_to_find(lines: str, overlay: str) -> None:
    """Guards against findings in configurations that are in order."""
    assert _review(f'{_BASE}{lines}', overlay) == []


@pytest.mark.parametrize('lines', ['deadline_ms = 500', '[sites.kgn-c]'])
def test_fault_of_the_base_is_found_once(lines: str) -> None:
    """Guards against one finding per site for a single entry of the base."""
    overlay = f'[{_KEY}]\nqueue_limit = 9'
    assert len(_review(f'{_BASE}{lines}', overlay)) == 1


@pytest.mark.parametrize('base', ['', '[sites', '[sites.kgn-a]\ncolour = 1'])
def test_invalid_files_have_no_findings(base: str) -> None:
    """Guards against a review that fails on files that a check refuses."""
    assert review_texts(ConfigurationTexts(base=base, overlays={})) == ()


@pytest.mark.parametrize('firm', ['adjei-mensah', 'blue-mahoe'])
def test_examples_have_no_findings(firm: str) -> None:
    """Guards against examples with entries that do nothing."""
    files = {
        path.name: path.read_text()
        for path in (_EXAMPLES / firm).glob('*.toml')
    }
    assert review_texts(texts_from_files(files)) == ()
