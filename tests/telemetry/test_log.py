"""Log lines, their quoting, and the sink with a stalled reader."""

import io
import json
import re
import threading

import gevent
import pytest
from absl import logging as absl_logging
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.telemetry.absl_log import AbslLog
from anvilthread.telemetry.log_line import log_line
from anvilthread.telemetry.log_sink import LogSink
from anvilthread.telemetry.memory_log import MemoryLog

PREFIX = 'time=1970-01-01T00:00:01.500Z level=info event=seen'


@pytest.mark.parametrize(
    ('value', 'text'),
    [
        ('idle', 'idle'),
        ('', '""'),
        ('two words', '"two words"'),
        ('a=b', '"a=b"'),
        ('say "no"', r'"say \"no\""'),
        ('one\ntwo', r'"one\ntwo"'),
        ('\u2028', r'"\u2028"'),
        (True, 'true'),
        (None, 'None'),
        (2.5, '2.5'),
        (b'\x01\xff', '01ff'),
        (Address(host='10.1.0.9', port=80), '10.1.0.9:80'),
        ('x' * 2000, f'{"x" * 1000}...'),
    ],
)
def test_value_is_quoted_when_needed(value: object, text: str) -> None:
    """Guards against values that forge further pairs or lines."""
    line = log_line(
        wall_ms=1500, level='info', name='seen', fields={'value': value}
    )
    assert line == f'{PREFIX} value={text}'


@given(value=st.text(max_size=50))
@settings(derandomize=True, max_examples=200)
def test_any_text_is_read_back(value: str) -> None:
    """Guards against lines that a log reader cannot take apart."""
    line = log_line(
        wall_ms=1500, level='info', name='seen', fields={'a': value, 'b': 1}
    )
    matched = re.fullmatch(rf'{PREFIX} a=(\S+|".*") b=1', line)
    assert matched is not None
    text = matched[1]
    assert (json.loads(text) if text.startswith('"') else text) == value


def test_absl_log_writes_one_line_per_event() -> None:
    """Guards against lines with the prefix of absl and lost info lines.

    The default verbosity of absl drops info lines.
    """
    stream = io.StringIO()
    sink = LogSink(stream=stream)
    log = AbslLog(node='b1', clock=ManualClock(start_ms=1500), sink=sink)
    log.event('connection_closed', reason='idle timeout', duration_ms=12)
    log.warning('key_refused', remedy='copy the key file')
    sink.finish(timeout_ms=5000)
    absl_logging.get_absl_logger().removeHandler(sink)
    assert stream.getvalue().splitlines() == [
        'time=1970-01-01T00:00:01.500Z level=info event=connection_closed'
        ' node=b1 reason="idle timeout" duration_ms=12',
        'time=1970-01-01T00:00:01.500Z level=warning event=key_refused'
        ' node=b1 remedy="copy the key file"',
    ]


class _StalledStream(io.StringIO):
    """A stream whose reader does not read until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.writers: set[int] = set()

    def write(self, text: str) -> int:
        """Blocks the writing thread as a full pipe does."""
        self.writers.add(threading.get_ident())
        if threading.get_ident() != threading.main_thread().ident:
            self.released.wait(30)
        return super().write(text)


def _record(text: str) -> object:
    return absl_logging.get_absl_logger().makeRecord(
        'absl', 20, 'x.py', 1, text, (), None
    )


def test_stalled_reader_causes_counted_drops() -> None:
    """Guards against a full pipe that stops the forwarding of packets."""
    stream = _StalledStream()
    sink = LogSink(stream=stream, capacity=4)
    sink.emit(_record('first'))
    gevent.sleep(0.01)  # the writer stalls on the first line
    for number in range(6):
        sink.emit(_record(f'line {number}'))
    assert sink.dropped == 2
    assert threading.get_ident() not in stream.writers
    stream.released.set()
    sink.finish(timeout_ms=5000)
    lines = stream.getvalue().splitlines()
    assert lines[:5] == ['first', 'line 0', 'line 1', 'line 2', 'line 3']
    assert 'event=log_lines_dropped count=2' in lines[5]
    assert len(lines) == 6


def test_failed_writes_are_counted() -> None:
    """Guards against a closed stream that ends the writer task."""
    stream = io.StringIO()
    sink = LogSink(stream=stream)
    stream.close()
    sink.emit(_record('lost'))
    sink.finish(timeout_ms=5000)
    assert sink.dropped == 1


def test_memory_log_finds_events_by_name() -> None:
    """Guards against tests that look at fields of the wrong event."""
    log = MemoryLog()
    log.event('joined', site='kgn-a')
    log.warning('refused', remedy='rotate')
    assert [entry.level for entry in log.entries] == ['info', 'warning']
    assert log.named('joined')[0].fields == {'site': 'kgn-a'}
