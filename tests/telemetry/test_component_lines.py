"""Lines of components that log through absl without a Log."""

import io
import logging

import gevent

from anvilthread.telemetry.log_sink import LogSink


def test_line_has_time_and_level() -> None:
    """Guards against lines that cannot be ordered or filtered."""
    stream = io.StringIO()
    sink = LogSink(stream=stream)
    record = logging.LogRecord(
        'absl', logging.WARNING, '', 0, 'event=x reason="y"', (), None
    )
    sink.emit(record)
    gevent.sleep(0)
    sink.finish(1000)
    line = stream.getvalue()
    assert line.startswith('time=')
    assert line.endswith(' level=warning event=x reason="y"\n')
