"""Parsing of the Prometheus text format."""

import re
from collections.abc import Iterator
from typing import Final

from result import Err, Ok, Result

from anvilthread.reports.trace_error import TraceError

_SAMPLE: Final = re.compile(
    r'(?P<name>[a-zA-Z_:][\w:]*)(?:\{(?P<labels>.*)\})?\s+(?P<value>\S+)'
    r'(?:\s+-?\d+)?',
    re.ASCII,
)
_LABEL: Final = re.compile(r'\s*(\w+)="((?:[^"\\]|\\.)*)"\s*(?:,|$)', re.ASCII)
_ESCAPE: Final = re.compile(r'\\(.)')
_UNESCAPED: Final = {'n': '\n'}


class Sample:
    """One sample of a scrape.

    Args:
        name: Name of the metric.
        labels: Its labels.
        value: Its value.
    """

    __slots__ = ('_labels', '_name', '_value')

    def __init__(
        self, *, name: str, labels: dict[str, str], value: float
    ) -> None:
        self._name = name
        self._labels = labels
        self._value = value

    @property
    def name(self) -> str:
        """Name of the metric."""
        return self._name

    @property
    def labels(self) -> dict[str, str]:
        """The labels."""
        return self._labels

    @property
    def value(self) -> float:
        """The value."""
        return self._value


def parse_metrics(name: str, text: str) -> Result[list[Sample], TraceError]:
    """Parses one scrape.

    Args:
        name: Name of the file, for errors.
        text: Content in the text format, version 0.0.4.

    Returns:
        The samples, or an error that names the first bad line.
    """
    samples = []
    for number, line in enumerate(text.split('\n'), start=1):
        if not line.strip() or line.startswith('#'):
            continue
        sample = _parse_line(line.strip())
        if sample is None:
            return Err(
                TraceError(
                    reason=f'{name}:{number}: is not a sample',
                    remedy='save the body of /metrics without changes',
                )
            )
        samples.append(sample)
    return Ok(samples)


def _parse_line(line: str) -> Sample | None:
    matched = _SAMPLE.fullmatch(line)
    if matched is None:
        return None
    labels = _parse_labels(matched['labels'] or '')
    if labels is None:
        return None
    try:
        value = float(matched['value'])
    except ValueError:
        return None
    return Sample(name=matched['name'], labels=labels, value=value)


def _parse_labels(text: str) -> dict[str, str] | None:
    labels = {}
    position = 0
    for name, value, end in _pairs(text):
        labels[name] = _ESCAPE.sub(_unescape, value)
        position = end
    return labels if position == len(text) else None


def _pairs(text: str) -> Iterator[tuple[str, str, int]]:
    position = 0
    while position < len(text):
        matched = _LABEL.match(text, position)
        if matched is None:
            return
        position = matched.end()
        yield matched[1], matched[2], position


def _unescape(matched: re.Match[str]) -> str:
    return _UNESCAPED.get(matched[1], matched[1])
