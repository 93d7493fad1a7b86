"""Interface to the balancers that an agent knows."""

from collections.abc import Sequence
from typing import Protocol

from anvilthread.address import Address


class Balancers(Protocol):
    """The balancers that can forward answers to clients."""

    def live_balancers(self) -> Sequence[Address]:
        """Data addresses of the balancers believed to be alive.

        The same object is returned until they change.
        """

    def is_gone(self, balancer: Address) -> bool:
        """Returns whether a balancer is known to be dead or to have left."""
