"""Reading of traces."""

from pathlib import Path
from typing import Final, TypeAlias

import msgspec
from result import Err, Ok, Result

from anvilthread.decoding import DECODE_ERRORS
from anvilthread.reports.connection_events import (
    ConnectionClosed,
    ConnectionOpened,
    PacketMisrouted,
)
from anvilthread.reports.node_events import (
    ConfigurationAccepted,
    ConfigurationInForce,
    DrainStarted,
    NodeStarted,
    NodeStopped,
    StopStarted,
    WorkStarted,
)
from anvilthread.reports.request_events import (
    RequestEnded,
    RequestStarted,
    RunEnded,
    RunStarted,
)
from anvilthread.reports.trace import Trace, TraceLine
from anvilthread.reports.trace_error import TraceError
from anvilthread.reports.trace_event import TraceEvent

AnyEvent: TypeAlias = (
    ConnectionOpened
    | ConnectionClosed
    | PacketMisrouted
    | RequestStarted
    | RequestEnded
    | RunStarted
    | RunEnded
    | NodeStarted
    | NodeStopped
    | StopStarted
    | DrainStarted
    | WorkStarted
    | ConfigurationAccepted
    | ConfigurationInForce
)

_decoder: Final = msgspec.json.Decoder(AnyEvent)


def read_trace(path: Path) -> Result[Trace, TraceError]:
    """Reads a trace of JSON lines.

    Args:
        path: The file.

    Returns:
        The trace, or an error that names the first bad line.
    """
    try:
        content = path.read_bytes()
    except OSError as error:
        return Err(
            TraceError(
                reason=f'{path}: cannot be read ({error.strerror})',
                remedy='check the path and its permissions',
            )
        )
    return parse_trace(str(path), content)


def parse_trace(name: str, content: bytes) -> Result[Trace, TraceError]:
    """Parses the content of a trace; ``name`` is for errors only.

    Empty lines and lines that start with ``#`` are skipped.
    """
    lines: list[TraceLine[TraceEvent]] = []
    for number, text in enumerate(content.split(b'\n'), start=1):
        if not text.strip() or text.startswith(b'#'):
            continue
        try:
            event = _decoder.decode(text)
        except DECODE_ERRORS as error:
            return Err(_bad_line(f'{name}:{number}', error))
        lines.append(TraceLine(number=number, event=event))
    return Ok(Trace(lines=lines))


def _bad_line(location: str, error: Exception) -> TraceError:
    return TraceError(
        reason=f'{location}: is not an event: {error}',
        remedy='write it as docs/traces.md defines it',
    )
