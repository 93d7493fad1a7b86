"""An agent without peers."""

from collections.abc import Collection
from typing import ClassVar

from gevent.event import Event

from anvilthread.address import Address
from anvilthread.admission.offers import Place
from anvilthread.outcomes import Request


class NoOffers:
    """Offers nothing to anybody."""

    __slots__ = ()

    _place: ClassVar[Place | None] = None

    @property
    def pending(self) -> bool:
        """Nobody is asked."""
        return False

    @property
    def asked(self) -> bool:
        """Nobody is asked."""
        return False

    def offer(
        self, request: Request, excluded: Collection[Address], wake: Event
    ) -> 'NoOffers':
        """Returns offers that nobody takes."""
        return self

    def take(self) -> Place | None:
        """Nobody reserves."""
        return self._place

    def close(self) -> None:
        """Nothing has to be withdrawn."""
