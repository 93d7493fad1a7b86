"""The interface to other agents of the service."""

from collections.abc import Collection
from typing import Protocol

from gevent.event import Event

from anvilthread.address import Address
from anvilthread.outcomes import Outcome, Request, SingleAnswer


class Place(Protocol):
    """A slot reserved for one request, on this or another agent."""

    @property
    def agent(self) -> Address | None:
        """The other agent; None for this one."""

    def run(self, request: Request, answer: SingleAnswer) -> Outcome:
        """Runs the request in this place."""

    def give_up(self) -> None:
        """Releases the place without a run."""


class Offers(Protocol):
    """Offers of one request to other agents."""

    @property
    def pending(self) -> bool:
        """Whether the reply of an agent is still pending."""

    @property
    def asked(self) -> bool:
        """Whether the request has been offered to any agent."""

    def take(self) -> Place | None:
        """Returns a reserved place, or None if there is none."""

    def close(self) -> None:
        """Withdraws all offers that were not taken."""


class OfferSource(Protocol):
    """Offers requests to other agents of the service."""

    def offer(
        self, request: Request, excluded: Collection[Address], wake: Event
    ) -> Offers:
        """Offers a request to the least busy agents, without blocking.

        Args:
            request: The request; its body is sent only when it runs.
            excluded: Agents to which the request must not be offered again.
            wake: Set whenever an agent has reserved a place or refused.

        Returns:
            The open offers.
        """
