"""Gauges that balancers and agents export."""

from collections.abc import Callable
from typing import Final

from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.store_era import StoreEra

_MS_PER_SECOND: Final = 1000


def node_gauges(
    *, routes: RouteHolder, roster: Roster, store_era: StoreEra
) -> dict[str, Callable[[], float]]:
    """Returns the gauges of a node by name.

    Args:
        routes: Configuration and evacuated sites in force.
        roster: The peers.
        store_era: Era of the store.
    """
    gauges: dict[str, Callable[[], float]] = {
        'anvilthread_configuration_version': lambda: routes.table.version,
        'anvilthread_configuration_check_age_seconds': lambda: (
            routes.check_age_ms / _MS_PER_SECOND
        ),
        'anvilthread_store_era': lambda: store_era.number,
        'anvilthread_nodes_known': lambda: len(roster.nodes),
    }
    evacuations = routes.evacuations
    if evacuations.is_enabled:
        gauges['anvilthread_evacuated_sites'] = lambda: len(evacuations.sites)
        gauges['anvilthread_evacuation_view_age_seconds'] = lambda: (
            evacuations.age_ms / _MS_PER_SECOND
        )
    return gauges
