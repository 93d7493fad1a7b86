"""Replay of recorded and hand-written traces against expected outcomes."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.reports.expected_outcomes import ExpectedOutcomes
from anvilthread.reports.replay import ALL_GUARANTEES, replay
from anvilthread.reports.trace_error import TraceError
from anvilthread.reports.trace_file import parse_trace, read_trace

TRACES = Path(__file__).parents[1] / 'traces'
PATHS = sorted(TRACES.glob('*.jsonl'))


@pytest.mark.parametrize('path', PATHS, ids=lambda path: path.stem)
def test_trace_has_its_expected_outcomes(path: Path) -> None:
    """Guards against a violated guarantee that is reported as held."""
    verdicts = replay(read_trace(path).unwrap(), ALL_GUARANTEES)
    expected = ExpectedOutcomes.read(path.with_suffix('.toml')).unwrap()
    assert list(expected.differences(verdicts)) == []


@pytest.mark.parametrize('name', [item.name for item in ALL_GUARANTEES])
@pytest.mark.parametrize('text', ['holds', 'violated'])
def test_each_verdict_is_covered(name: str, text: str) -> None:
    """Guards against a checker that cannot fail or cannot pass."""
    expected = [
        ExpectedOutcomes.read(path.with_suffix('.toml')).unwrap()
        for path in PATHS
    ]
    assert text in {outcomes.verdicts.get(name) for outcomes in expected}


def test_wrong_expectations_are_differences() -> None:
    """Guards against an outcomes file that is read but not compared."""
    trace = read_trace(TRACES / 'booking_run_twice.jsonl').unwrap()
    verdicts = replay(trace, ALL_GUARANTEES)
    expected = ExpectedOutcomes(
        verdicts={'runs_at_most_once': 'holds', 'runs_twice': 'holds'},
        first_violations={'runs_at_most_once': 4},
    )
    assert list(expected.differences(verdicts)) == [
        'runs_twice: is not the name of a guarantee',
        'runs_at_most_once: violated, but stated as holds',
        'runs_at_most_once: first violation in line 5, but stated as line 4',
    ]
    empty = ExpectedOutcomes(verdicts={})
    assert list(empty.differences(verdicts)) == [
        'runs_at_most_once: violated, but no outcome is stated'
    ]


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('{', 'x.jsonl:2: is not an event'),
        ('{"ts_ms":1,"node":"a"}', 'kind'),
        ('{"kind":"other","ts_ms":1,"node":"a"}', "Invalid value 'other'"),
        ('{"kind":"drain_started","node":"a"}', 'missing required field'),
        ('{"kind":"drain_started","ts_ms":"1","node":"a"}', 'Expected `int`'),
        ('[' * 100_000, 'x.jsonl:2'),
        ('{"kind":"\xff"}', 'x.jsonl:2'),
    ],
)
def test_error_names_the_invalid_line(text: str, reason: str) -> None:
    """Guards against a damaged line that is skipped silently."""
    content = f'# trace\n{text}\n'.encode('latin-1')
    error = parse_trace('x.jsonl', content).unwrap_err()
    assert reason in str(error)
    assert 'docs/traces.md' in error.remedy


@given(content=st.binary(max_size=80))
@settings(derandomize=True, max_examples=200)
def test_any_bytes_give_a_trace_or_an_error(content: bytes) -> None:
    """Guards against exceptions from the parser for damaged files."""
    outcome = parse_trace('x', content)
    assert outcome.is_ok() or isinstance(outcome.err(), TraceError)
