"""What one read of the operator's keys has returned."""

import msgspec
from result import Result

from anvilthread.error import AnvilthreadError
from anvilthread.flows.evacuation_view import EvacuationView
from anvilthread.flows.route_table import RouteTable

_UNKNOWN_AGE_MS = -1


class StoreReading(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration, and the evacuated sites.

    Attributes:
        configuration: The configuration, or why it cannot be used. Sites are
            evacuated also if the configuration cannot be used.
        evacuation: The evacuated sites; None if they were not read.
        evacuation_age_ms: Time since the store held that view; -1 if unknown.
        ignored: Names of evacuated sites that are not plausible.
    """

    configuration: Result[RouteTable, AnvilthreadError]
    evacuation: EvacuationView | None = None
    evacuation_age_ms: int = _UNKNOWN_AGE_MS
    ignored: tuple[str, ...] = ()
