"""Windows and alert rules of burn rates."""

from enum import Enum, StrEnum
from typing import Final

_MINUTE_MS: Final = 60_000
_HOUR_MS: Final = 60 * _MINUTE_MS
_DAY_MS: Final = 24 * _HOUR_MS


class BurnWindow(Enum):
    """A window over which a burn rate is computed; the value is in ms."""

    FIVE_MINUTES = 5 * _MINUTE_MS
    HALF_HOUR = 30 * _MINUTE_MS
    HOUR = _HOUR_MS
    SIX_HOURS = 6 * _HOUR_MS
    THREE_DAYS = 3 * _DAY_MS

    @property
    def label(self) -> str:
        """Short name for tables."""
        return _LABELS[self]


_LABELS: Final = {
    BurnWindow.FIVE_MINUTES: '5m',
    BurnWindow.HALF_HOUR: '30m',
    BurnWindow.HOUR: '1h',
    BurnWindow.SIX_HOURS: '6h',
    BurnWindow.THREE_DAYS: '3d',
}


class Alert(StrEnum):
    """How urgent a burn rate is."""

    PAGE = 'page'
    TICKET = 'ticket'
    NONE = 'none'


class AlertRule:
    """An alert for burn rates above a limit in two windows.

    The long window shows that the burn is significant, the short one that it
    continues.

    Args:
        alert: The alert.
        long: The long window.
        short: The short window.
        limit: Burn rate that both must exceed.
    """

    __slots__ = ('alert', 'limit', 'long', 'short')

    def __init__(
        self,
        *,
        alert: Alert,
        long: BurnWindow,
        short: BurnWindow,
        limit: float,
    ) -> None:
        self.alert = alert
        self.long = long
        self.short = short
        self.limit = limit


#: With a budget for 30 days, the rules fire when 2% of it is spent in 1 h,
#: 5% in 6 h, or 10% in 3 d (Google, The Site Reliability Workbook, ch. 5).
ALERT_RULES: Final = (
    AlertRule(
        alert=Alert.PAGE,
        long=BurnWindow.HOUR,
        short=BurnWindow.FIVE_MINUTES,
        limit=14.4,
    ),
    AlertRule(
        alert=Alert.PAGE,
        long=BurnWindow.SIX_HOURS,
        short=BurnWindow.HALF_HOUR,
        limit=6,
    ),
    AlertRule(
        alert=Alert.TICKET,
        long=BurnWindow.THREE_DAYS,
        short=BurnWindow.SIX_HOURS,
        limit=1,
    ),
)
