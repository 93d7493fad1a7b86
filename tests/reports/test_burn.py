"""Burn rates, alerts, and the table and page that show them."""

import io
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rich.console import Console
from syrupy.assertion import SnapshotAssertion

from anvilthread.reports.burn_page import render_page
from anvilthread.reports.burn_report import BurnReport, make_report
from anvilthread.reports.burn_table import print_report
from anvilthread.reports.burn_window import Alert
from anvilthread.reports.increment import Increment
from anvilthread.reports.indicator import Indicator
from anvilthread.reports.metrics_text import parse_metrics
from anvilthread.reports.objectives import Objectives, ServiceObjectives
from anvilthread.reports.snapshot import read_snapshots
from anvilthread.reports.snapshot_increments import snapshot_increments
from anvilthread.reports.trace_file import parse_trace
from anvilthread.reports.trace_increments import trace_increments

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
OBJECTIVES = ServiceObjectives(
    services={'bookings': Objectives(requests_answered=0.99)}
)


def _increment(ts_ms: int, total: float, bad: float) -> Increment:
    return Increment(
        ts_ms=ts_ms,
        service='bookings',
        indicator=Indicator.REQUESTS_ANSWERED,
        total=total,
        bad=bad,
    )


def _steady_report(bad_share_by_age: dict[int, float]) -> BurnReport:
    """Reports on three days of 100 requests per minute.

    Each minute has the bad share of the lowest age limit above its age.
    """
    end_ms = 3 * DAY_MS
    increments = []
    for ts_ms in range(MINUTE_MS, end_ms + 1, MINUTE_MS):
        age_ms = end_ms - ts_ms
        limits = [age for age in bad_share_by_age if age_ms < age]
        bad = 100 * bad_share_by_age[min(limits)] if limits else 0
        increments.append(_increment(ts_ms, 100, bad))
    return make_report(increments, OBJECTIVES).unwrap()


@pytest.mark.parametrize(
    ('bad_share_by_age', 'rates', 'alert'),
    [
        ({}, (0, 0, 0, 0, 0), Alert.NONE),
        ({3 * DAY_MS: 0.01}, (1, 1, 1, 1, 1), Alert.NONE),
        ({3 * DAY_MS: 0.02}, (2, 2, 2, 2, 2), Alert.TICKET),
        ({6 * HOUR_MS: 0.07}, (7, 7, 7, 7, 0.58), Alert.PAGE),
        ({HOUR_MS: 0.2}, (20, 20, 20, 3.33, 0.28), Alert.PAGE),
        # High burn rate in the past hour, but none in the last 5 minutes.
        (
            {HOUR_MS: 0.2, 5 * MINUTE_MS: 0},
            (0, 16.67, 18.33, 3.06, 0.25),
            Alert.NONE,
        ),
        # High burn rate now, but not for long enough.
        ({5 * MINUTE_MS: 0.2}, (20, 3.33, 1.67, 0.28, 0.02), Alert.NONE),
    ],
)
def test_rates_and_alerts(
    bad_share_by_age: dict[int, float],
    rates: tuple[float, ...],
    alert: Alert,
) -> None:
    """Guards against alerts on one window alone, and missed budget burns."""
    row = _steady_report(bad_share_by_age).rows[0]
    assert tuple(round(rate, 2) for rate in row.rates.values()) == rates
    assert row.alert is alert


def test_trace_counts_each_indicator() -> None:
    """Guards against outcomes that count for the wrong indicator."""
    ended = '"kind":"request_ended","node":"a","request":"r"'
    closed = '"kind":"connection_closed","node":"a","connection":"c"'
    lines = [
        f'{{{ended},"ts_ms":1,"service":"bookings","outcome":"answered",'
        '"latency_ms":250}',
        f'{{{ended},"ts_ms":2,"service":"bookings","outcome":"answered",'
        '"latency_ms":251}',
        f'{{{ended},"ts_ms":3,"service":"bookings","outcome":"unknown",'
        '"latency_ms":9}',
        f'{{{ended},"ts_ms":4,"service":"bookings","outcome":"not_run",'
        '"latency_ms":9}',
        f'{{{closed},"ts_ms":5,"service":"bookings","reason":"reset"}}',
        f'{{{closed},"ts_ms":6,"service":"bookings","reason":"client_closed"}}',
    ]
    trace = parse_trace('x', '\n'.join(lines).encode()).unwrap()
    increments = trace_increments(trace, OBJECTIVES)
    report = make_report(increments, OBJECTIVES).unwrap()
    counted = [(row.indicator, row.bad, row.total) for row in report.rows]
    assert counted == [
        (Indicator.CONNECTIONS_KEPT, 1, 2),
        (Indicator.REQUESTS_ANSWERED, 2, 4),
        (Indicator.LATENCY, 1, 2),
    ]


def _scrape(answered: int, unknown: int, reset: int, fast: int) -> str:
    latency = 'anvilthread_request_latency_seconds_bucket'
    requests = 'anvilthread_requests_total{service="bookings",outcome='
    closed = 'anvilthread_connections_closed_total{service="bookings",reason='
    lines = (
        '# TYPE anvilthread_requests_total counter',
        f'{requests}"answered"}} {answered}',
        f'{requests}"unknown"}} {unknown}',
        f'{closed}"reset"}} {reset}',
        f'{latency}{{service="bookings",le="0.1"}} {fast}',
        f'{latency}{{service="bookings",le="0.5"}} {answered}',
        f'{latency}{{service="bookings",le="+Inf"}} {answered}',
    )
    return '\n'.join(lines)


def test_snapshots_count_between_scrapes(tmp_path: Path) -> None:
    """Guards against restarts and first scrapes that count as events."""
    scrapes = {
        'agent-1@1000.prom': _scrape(1000, 10, 5, 900),
        'agent-1@2000.prom': _scrape(1100, 11, 5, 960),
        # After a restart every counter starts at zero.
        'agent-1@3000.prom': _scrape(50, 2, 1, 50),
        'agent-2@1500.prom': _scrape(7000, 0, 0, 7000),
    }
    for name, text in scrapes.items():
        (tmp_path / name).write_text(text)
    snapshots = read_snapshots(tmp_path).unwrap()
    increments = snapshot_increments(snapshots, OBJECTIVES)
    report = make_report(increments, OBJECTIVES).unwrap()
    counted = {row.indicator: (row.bad, row.total) for row in report.rows}
    assert counted == {
        Indicator.REQUESTS_ANSWERED: (3, 153),
        Indicator.CONNECTIONS_KEPT: (1, 1),
        # The limit of 250 ms is between two bounds; the lower one applies.
        Indicator.LATENCY: (40, 150),
    }


def test_limit_below_every_bound_is_never_met(tmp_path: Path) -> None:
    """Guards against good latencies when every bound is above the limit."""
    objectives = ServiceObjectives(
        services={'default': Objectives(latency_ms=1)}
    )
    (tmp_path / 'a@1.prom').write_text(_scrape(0, 0, 0, 0))
    (tmp_path / 'a@2.prom').write_text(_scrape(8, 0, 0, 8))
    snapshots = read_snapshots(tmp_path).unwrap()
    increments = snapshot_increments(snapshots, objectives)
    report = make_report(increments, objectives).unwrap()
    assert (report.rows[-1].bad, report.rows[-1].total) == (8, 8)


@pytest.mark.parametrize(
    ('name', 'text', 'reason'),
    [
        ('agent.prom', 'a 1', 'has no node and time'),
        ('a@1.prom', 'a', 'a@1.prom:1: is not a sample'),
        ('a@1.prom', 'a 1\nb{c="d} 1', 'a@1.prom:2: is not a sample'),
        ('a@1.prom', 'a x', 'a@1.prom:1: is not a sample'),
        ('a@1.prom', '\xff', 'cannot be read'),
        ('a@1.txt', 'a 1', 'holds no snapshots'),
    ],
)
def test_error_names_the_invalid_snapshot(
    name: str, text: str, reason: str, tmp_path: Path
) -> None:
    """Guards against a damaged scrape that lowers the burn."""
    (tmp_path / name).write_text(text, encoding='latin-1')
    error = read_snapshots(tmp_path).unwrap_err()
    assert reason in error.reason


def test_labels_are_unescaped() -> None:
    """Guards against a service that counts as two if its label is escaped."""
    text = r'm{a="x\"y\\z\n,}",b=""} 1.5 1700000000000'
    sample = parse_metrics('x', text).unwrap()[0]
    assert sample.labels == {'a': '\n'.join((r'x"y\z', ',}')), 'b': ''}
    assert (sample.name, sample.value) == ('m', 1.5)


@given(text=st.text(alphabet=[*r'm{}a="\n, 1.#', '\n'], max_size=40))
@settings(derandomize=True, max_examples=300)
def test_any_text_gives_samples_or_an_error(text: str) -> None:
    """Guards against exceptions from the parser for damaged scrapes."""
    outcome = parse_metrics('x', text)
    assert outcome.is_ok() or 'x:' in outcome.unwrap_err().reason


@pytest.mark.parametrize(
    ('text', 'reason'),
    [
        ('[bookings]\nlatency = 1.5', 'Expected `float` < 1'),
        ('[bookings]\nlatencies = 0.5', 'unknown field `latencies`'),
        ('bookings = 1', 'Expected `object`'),
    ],
)
def test_invalid_objectives_are_refused(
    text: str, reason: str, tmp_path: Path
) -> None:
    """Guards against a misspelt objective that falls back to the default."""
    path = tmp_path / 'objectives.toml'
    path.write_text(text)
    assert reason in ServiceObjectives.read(path).unwrap_err().reason


def test_no_events_is_an_error() -> None:
    """Guards against an empty report that looks like a perfect service."""
    error = make_report([_increment(1, 0, 0)], OBJECTIVES).unwrap_err()
    assert 'no events' in error.reason


def _example_report() -> BurnReport:
    increments = [
        _increment(minute * MINUTE_MS, 100, 20 if minute > 400 else 0)
        for minute in range(1, 481)
    ]
    increments.append(
        Increment(
            ts_ms=480 * MINUTE_MS,
            service='<till & [shop]>',
            indicator=Indicator.LATENCY,
            total=1000,
            bad=3,
        )
    )
    return make_report(increments, OBJECTIVES).unwrap()


def test_table(snapshot: SnapshotAssertion) -> None:
    """Guards against a table that does not fit into 80 columns."""
    stream = io.StringIO()
    print_report(
        _example_report(), Console(file=stream, width=80, color_system=None)
    )
    text = stream.getvalue()
    assert text == snapshot
    for heading in ('alert', 'objective', 'bad / events', '5m', '3d'):
        assert heading in text


def test_page(snapshot: SnapshotAssertion) -> None:
    """Guards against a page that loads files or leaves names unescaped."""
    page = render_page(_example_report())
    assert page == snapshot
    assert '<till' not in page
    for reference in ('src=', 'href=', 'url(', '@import', '<script'):
        assert reference not in page
