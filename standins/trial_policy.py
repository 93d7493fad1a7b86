"""The placement policies that trials compare."""

from collections.abc import Callable
from typing import Final

import msgspec

from anvilthread.address import Address
from anvilthread.routing.least_loaded_placement import LeastLoadedPlacement
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.placement import Placement
from anvilthread.routing.random_placement import RandomPlacement
from anvilthread.routing.rendezvous_placement import RendezvousPlacement
from anvilthread.routing.subset import Subset
from standins.placement_trial import PlacementTrial


class TrialPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """A policy, and whether agents pass on packets over their bound."""

    name: str
    build: Callable[[PlacementTrial, LoadTable, Address], Placement]
    bounded: bool = False


def _load_aware(
    trial: PlacementTrial, table: LoadTable, balancer: Address
) -> Placement:
    return LoadAwarePlacement(
        clock=trial.clock, table=table, subset=Subset(balancer=balancer)
    )


def _rendezvous(
    trial: PlacementTrial, table: LoadTable, balancer: Address
) -> Placement:
    return RendezvousPlacement()


def _random(
    trial: PlacementTrial, table: LoadTable, balancer: Address
) -> Placement:
    return RandomPlacement(random=trial.random)


def _least_loaded(
    trial: PlacementTrial, table: LoadTable, balancer: Address
) -> Placement:
    return LeastLoadedPlacement(table=table)


LOAD_AWARE: Final = TrialPolicy(
    name='load-aware', build=_load_aware, bounded=True
)

#: The product's placement without the agents' admission bound.
UNBOUNDED: Final = TrialPolicy(name='no bound', build=_load_aware)

BASELINES: Final = (
    TrialPolicy(name='rendezvous', build=_rendezvous),
    TrialPolicy(name='random', build=_random),
    TrialPolicy(name='least loaded', build=_least_loaded),
)
