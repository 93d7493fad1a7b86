"""Events counted for one indicator."""

from anvilthread.reports.indicator import Indicator


class Increment:
    """Events of one service and indicator at one time.

    Args:
        ts_ms: Time since the Unix epoch.
        service: The service.
        indicator: The indicator that the events count for.
        total: Number of events.
        bad: Number of events that break the objective.
    """

    __slots__ = ('_bad', '_indicator', '_service', '_total', '_ts_ms')

    def __init__(
        self,
        *,
        ts_ms: int,
        service: str,
        indicator: Indicator,
        total: float,
        bad: float,
    ) -> None:
        self._ts_ms = ts_ms
        self._service = service
        self._indicator = indicator
        self._total = total
        self._bad = bad

    @property
    def ts_ms(self) -> int:
        """Time since the Unix epoch."""
        return self._ts_ms

    @property
    def service(self) -> str:
        """The service."""
        return self._service

    @property
    def indicator(self) -> Indicator:
        """The indicator that the events count for."""
        return self._indicator

    @property
    def total(self) -> float:
        """Number of events."""
        return self._total

    @property
    def bad(self) -> float:
        """Number of events that break the objective."""
        return self._bad
