"""An event that follows others."""

from collections.abc import Collection
from types import TracebackType

from gevent.event import Event


class EventLink:
    """Sets an event when one of several others is set, while it is open.

    Closing matters for sources that outlive a request: each link that stays
    behind would keep its request in memory.

    Args:
        sources: Events to follow.
        target: Event to set.
    """

    __slots__ = ('_sources', '_target')

    def __init__(self, *, sources: Collection[Event], target: Event) -> None:
        self._sources = sources
        self._target = target

    def __enter__(self) -> None:
        for source in self._sources:
            if source.is_set():
                self._target.set()
            source.rawlink(self._follow)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for source in self._sources:
            source.unlink(self._follow)

    def _follow(self, _: Event) -> None:
        self._target.set()
