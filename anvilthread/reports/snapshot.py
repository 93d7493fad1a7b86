"""Saved scrapes of node metrics."""

import re
from pathlib import Path
from typing import Final

from result import Err, Ok, Result

from anvilthread.reports.metrics_text import Sample, parse_metrics
from anvilthread.reports.trace_error import TraceError

_FILE_NAME: Final = re.compile(
    r'(?P<node>.+)@(?P<ts_ms>\d{1,15})\.prom', re.ASCII
)


class Snapshot:
    """One scrape of one node.

    Args:
        node: Name of the node.
        ts_ms: Time of the scrape since the Unix epoch.
        samples: Samples that the node reported.
    """

    __slots__ = ('_node', '_samples', '_ts_ms')

    def __init__(self, *, node: str, ts_ms: int, samples: list[Sample]) -> None:
        self._node = node
        self._ts_ms = ts_ms
        self._samples = samples

    @property
    def node(self) -> str:
        """Name of the node."""
        return self._node

    @property
    def ts_ms(self) -> int:
        """Time of the scrape."""
        return self._ts_ms

    @property
    def samples(self) -> list[Sample]:
        """Samples that the node reported."""
        return self._samples


def read_snapshots(directory: Path) -> Result[list[Snapshot], TraceError]:
    """Reads every ``NODE@TS_MS.prom`` of a directory.

    Args:
        directory: The directory; other files are ignored.

    Returns:
        The snapshots in order of time, or the first error.
    """
    snapshots = []
    for path in sorted(directory.glob('*.prom')):
        snapshot = _read(path)
        if isinstance(snapshot, Err):
            return snapshot
        snapshots.append(snapshot.ok_value)
    if not snapshots:
        return Err(
            TraceError(
                reason=f'{directory}: holds no snapshots',
                remedy='save scrapes as NODE@TS_MS.prom',
            )
        )
    snapshots.sort(key=_time)
    return Ok(snapshots)


def _read(path: Path) -> Result[Snapshot, TraceError]:
    matched = _FILE_NAME.fullmatch(path.name)
    if matched is None:
        return Err(
            TraceError(
                reason=f'{path}: the name has no node and time',
                remedy='name it NODE@TS_MS.prom',
            )
        )
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            TraceError(
                reason=f'{path}: cannot be read ({error})',
                remedy='check the file and its permissions',
            )
        )
    return parse_metrics(str(path), text).map(
        lambda samples: Snapshot(
            node=matched['node'],
            ts_ms=int(matched['ts_ms']),
            samples=samples,
        )
    )


def _time(snapshot: Snapshot) -> int:
    return snapshot.ts_ms
