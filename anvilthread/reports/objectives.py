"""Service-level objectives."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Final

import msgspec
from result import Err, Ok, Result

from anvilthread.error import AnvilthreadError
from anvilthread.reports.indicator import Indicator
from anvilthread.reports.trace_error import TraceError
from anvilthread.settings.toml_file import read_toml

Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]

_DEFAULT_SERVICE: Final = 'default'


class Objectives(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Objectives of one service, as shares of good events.

    Attributes:
        connections_kept: Share of connections that the client ends.
        requests_answered: Share of requests that get an answer.
        latency: Share of answers within ``latency_ms``.
        latency_ms: Limit of the latency objective.
    """

    connections_kept: Share = 0.9999
    requests_answered: Share = 0.999
    latency: Share = 0.99
    latency_ms: Annotated[float, msgspec.Meta(gt=0)] = 250

    def share(self, indicator: Indicator) -> float:
        """The objective of an indicator, as a share of good events."""
        if indicator is Indicator.CONNECTIONS_KEPT:
            return self.connections_kept
        if indicator is Indicator.REQUESTS_ANSWERED:
            return self.requests_answered
        return self.latency


class ServiceObjectives:
    """Objectives by service.

    Args:
        services: Objectives by service; ``default`` applies to the others.
    """

    __slots__ = ('_default', '_services')

    def __init__(self, *, services: Mapping[str, Objectives]) -> None:
        self._services = dict(services)
        self._default = self._services.get(_DEFAULT_SERVICE, Objectives())

    @classmethod
    def read(cls, path: Path) -> 'Result[ServiceObjectives, AnvilthreadError]':
        """Reads a TOML file with one table per service."""
        table = read_toml(path)
        if isinstance(table, Err):
            return table
        try:
            services = msgspec.convert(table.ok_value, dict[str, Objectives])
        except msgspec.ValidationError as error:
            return Err(
                TraceError(
                    reason=f'{path}: {error}',
                    remedy='write shares between 0 and 1, as in'
                    ' `requests_answered = 0.999`',
                )
            )
        return Ok(cls(services=services))

    def of(self, service: str) -> Objectives:
        """The objectives of a service."""
        return self._services.get(service, self._default)
