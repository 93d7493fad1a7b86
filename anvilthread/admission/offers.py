"""The interface towards other agents of the service."""

from collections.abc import Collection
from typing import Protocol

from gevent.event import Event

from anvilthread.address import Address
from anvilthread.outcomes import Outcome, Request, SingleAnswer


class Place(Protocol):
    """A slot that is held for one request, here or at another agent."""

    @property
    def agent(self) -> Address | None:
        """The other agent; None for this one."""

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Runs the request there."""

    def give_up(self) -> None:
        """Frees the place without a run."""


class Offers(Protocol):
    """Offers of one request to several agents."""

    @property
    def pending(self) -> bool:
        """Whether an agent has yet to reserve or refuse."""

    @property
    def asked(self) -> bool:
        """Whether there is an agent that was asked."""

    def take(self) -> Place | None:
        """Returns a reserved place, if there is one."""

    def close(self) -> None:
        """Withdraws every offer that was not taken."""


class OfferSource(Protocol):
    """Offers requests to other agents of the service."""

    def offer(
        self, request: Request, excluded: Collection[Address], wake: Event
    ) -> Offers:
        """Offers a request to the least busy agents, without blocking.

        Args:
            request: The request; its body is not sent before it runs.
            excluded: Agents that must not get it again.
            wake: Set whenever an agent has reserved or refused.

        Returns:
            The open offers.
        """
