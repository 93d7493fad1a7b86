"""Offer source of an agent without peers."""

from collections.abc import Collection
from typing import ClassVar

from gevent.event import Event

from anvilthread.address import Address
from anvilthread.admission.offers import Place
from anvilthread.outcomes import Request


class NoOffers:
    """Offers requests to no agent."""

    __slots__ = ()

    _place: ClassVar[Place | None] = None

    @property
    def pending(self) -> bool:
        """Always false, since no reply is pending."""
        return False

    @property
    def asked(self) -> bool:
        """Always false, since no agent has been asked."""
        return False

    def offer(
        self, request: Request, excluded: Collection[Address], wake: Event
    ) -> 'NoOffers':
        """Returns this object, which has no offers."""
        return self

    def take(self) -> Place | None:
        """Returns None, since no agent reserves a place."""
        return self._place

    def close(self) -> None:
        """Does nothing, since there is no offer to withdraw."""
