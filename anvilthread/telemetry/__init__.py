"""Structured logs, metrics and the health endpoint."""

from anvilthread.telemetry.absl_log import AbslLog
from anvilthread.telemetry.health import Health
from anvilthread.telemetry.log import Log
from anvilthread.telemetry.log_entry import LogEntry
from anvilthread.telemetry.log_sink import LogSink
from anvilthread.telemetry.memory_log import MemoryLog
from anvilthread.telemetry.metrics import (
    Counter,
    Gauge,
    Histogram,
    Metrics,
)
from anvilthread.telemetry.telemetry_server import TelemetryServer

__all__ = (
    'AbslLog',
    'Counter',
    'Gauge',
    'Health',
    'Histogram',
    'Log',
    'LogEntry',
    'LogSink',
    'MemoryLog',
    'Metrics',
    'TelemetryServer',
)
