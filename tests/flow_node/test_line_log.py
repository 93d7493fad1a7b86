"""Rate-limited, non-blocking logs on standard output."""

import os

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flow_node.line_log import LineLog


class _Pipe:
    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def read(self) -> str:
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ''


@pytest.fixture
def pipe() -> _Pipe:
    """A pipe in place of standard output."""
    return _Pipe()


def _make_log(pipe: _Pipe, clock: ManualClock) -> LineLog:
    return LineLog(node='edge-1', clock=clock, descriptor=pipe.writer)


def test_line_format(pipe: _Pipe) -> None:
    """Guards against lines that cannot be searched by field."""
    log = _make_log(pipe, ManualClock())
    log.event('flow_placed', flow='a:1>b:2', load=0.5, reason='two words')
    log.flush()
    line = pipe.read()
    assert 'event=flow_placed node=edge-1' in line
    assert 'load=0.5 reason="two words"\n' in line


def test_rate_is_limited(pipe: _Pipe) -> None:
    """Guards against logging that exhausts the processor under load."""
    clock = ManualClock()
    log = _make_log(pipe, clock)
    for _ in range(5000):
        log.event('flow_placed')
    log.warning('store_lost', remedy='none')
    log.flush()
    text = pipe.read()
    assert text.count('event=flow_placed') < 1000
    assert 'event=store_lost' in text
    assert 'event=log_lines_dropped' in text
    clock.advance(1000)
    log.event('flow_placed')
    log.flush()
    assert 'event=flow_placed' in pipe.read()


def test_slow_reader_does_not_block(pipe: _Pipe) -> None:
    """Guards against a process that blocks when nobody reads its log."""
    clock = ManualClock()
    log = _make_log(pipe, clock)
    for _ in range(200):
        clock.advance(1000)
        for _ in range(100):
            log.event('flow_placed', text='x' * 200)
        log.flush()
    assert log.dropped > 0


def test_closed_reader_does_not_raise(pipe: _Pipe) -> None:
    """Guards against a crash when the log collector has closed the pipe."""
    log = _make_log(pipe, ManualClock())
    os.close(pipe.reader)
    log.event('flow_placed')
    log.flush()
    log.flush()
