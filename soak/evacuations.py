"""Evacuation of sites by the operator during a soak."""

import time
from collections.abc import Callable, Iterable
from typing import Final

from standins.metadata_server import MetadataServer

#: Time within which the operator's request is in force (the platform's
#: ``evacuation_ms``).
EVACUATION_LIMIT_MS: Final = 5000

#: Time after which a node has read a request from a store that answers: 1.9 s
#: between two reads of a balancer, one timeout of 0.5 s, and the hello.
_READ_LIMIT_S: Final = 2.5


class Evacuations:
    """Writes the requests, and knows from when on each is in force.

    Args:
        store: The store.
        find_hosts: Returns the hosts of the targets of a site.
    """

    __slots__ = ('_find_hosts', '_started_s', '_store')

    def __init__(
        self,
        *,
        store: MetadataServer,
        find_hosts: Callable[[str], Iterable[str]],
    ) -> None:
        self._store = store
        self._find_hosts = find_hosts
        #: Monotonic time from which the limit of each site counts.
        self._started_s: dict[str, float] = {}

    @property
    def sites(self) -> list[str]:
        """The evacuated sites."""
        return list(self._started_s)

    def start(self, site: str) -> None:
        """Writes the request to evacuate a site."""
        self._started_s[site] = time.monotonic()
        self.write()

    def end(self, site: str) -> None:
        """Takes a site back into service."""
        self._started_s.pop(site, None)
        self.write()

    def write(self) -> None:
        """Writes the requests, again if a restore has changed them."""
        names = {f'op/evacuate/{site}' for site in self._started_s}
        present = set(self._store.keys('op/evacuate/'))
        for name in names - present:
            self._store.write(name, b'{}')
        for name in present - names:
            self._store.remove(name)

    def delay(self, seconds: float) -> None:
        """Starts the limit later, as the store cannot be read for a while.

        Only for requests that perhaps no node has read: the others stay in
        force without the store.
        """
        now_s = time.monotonic()
        for site, started_s in self._started_s.items():
            if now_s - started_s < _READ_LIMIT_S:
                self._started_s[site] = max(started_s, now_s + seconds)

    def is_in_force(self, host: str) -> bool:
        """Whether a target must get no new flow, by the host of its VM."""
        latest_s = time.monotonic() - EVACUATION_LIMIT_MS / 1000
        return any(
            started_s < latest_s and host in self._find_hosts(site)
            for site, started_s in self._started_s.items()
        )
