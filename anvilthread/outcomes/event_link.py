"""An event that is set together with other events."""

from collections.abc import Collection
from types import TracebackType

from gevent.event import Event


class EventLink:
    """Sets an event as soon as one of several others is set.

    The link has an effect only inside its ``with`` block. Sources may outlive
    a request, and a link that is not removed would keep its request in memory.

    Args:
        sources: Events to watch.
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
            source.rawlink(self._set_target)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for source in self._sources:
            source.unlink(self._set_target)

    def _set_target(self, _: Event) -> None:
        self._target.set()
