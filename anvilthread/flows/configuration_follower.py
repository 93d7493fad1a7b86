"""Keeps the configuration of one node up to date."""

from random import Random
from typing import Final

from gevent.event import Event
from result import Err

from anvilthread.clock import Clock
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.telemetry.log import Log

#: Age of the last check at which an agent reads the store again. A change is
#: to be in force within 3 s: this age, the spread, one timeout of a call
#: (500 ms) and the time to tell the peers stay below that.
_CHECK_MS: Final = 900

#: Balancers leave the reading to agents, whose links are wider.
_BALANCER_EXTRA_MS: Final = 400

#: Spread of the age over the nodes, so that mostly one of them reads.
_SPREAD_MS: Final = 500

#: Longest pause between two looks at the age.
_LOOK_MS: Final = 100

#: Time that a starting balancer gives its peers to tell the version, before
#: it reads the store itself. Agents have more of a processor and start first.
_PEERS_FIRST_MS: Final = 700

#: Pause after a failed read, so that an outage is not made worse.
_RETRY_MS: Final = 400


class ConfigurationFollower:
    """Reads the store now and then, and peers that have a newer version.

    The store is read rather than watched: a watch that stays silent proves
    nothing. One reader tells all the others, so the calls of the system do
    not grow with the number of its nodes.

    Args:
        clock: Source of time and delays.
        random: Source of the spread.
        source: Store and peers.
        routes: Holder of the version in force.
        roster: This node and its peers.
        introducer: Tells peers of a version and of its check.
        log: Receives the loss and return of the store.
    """

    __slots__ = (
        '_clock',
        '_introducer',
        '_is_store_lost',
        '_limit_ms',
        '_log',
        '_newer',
        '_newer_host',
        '_newer_version',
        '_random',
        '_roster',
        '_routes',
        '_source',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        random: Random,
        source: ConfigurationSource,
        routes: RouteHolder,
        roster: Roster,
        introducer: Introducer,
        log: Log,
    ) -> None:
        self._clock = clock
        self._random = random
        self._source = source
        self._routes = routes
        self._roster = roster
        self._introducer = introducer
        self._log = log
        self._newer = Event()
        self._newer_host = ''
        self._newer_version = 0
        self._is_store_lost = False
        self._limit_ms = 0

    def on_version(self, host: str, version: int, checked_ms: int) -> None:
        """Notes the version of a peer, and fetches it if it is higher."""
        if version > self._routes.table.version:
            if version >= self._newer_version:
                self._newer_version = version
                self._newer_host = host
            self._newer.set()
        else:
            self._routes.confirm(version, checked_ms)

    def follow_store(self) -> None:
        """Reads the store whenever the last check is old, forever."""
        self._draw_limit()
        self._await_peers()
        while True:
            checked_ms = self._routes.checked_ms
            if not 0 <= checked_ms < self._limit_ms:
                pause_ms = self._read_store()
            else:
                pause_ms = min(self._limit_ms - checked_ms, _LOOK_MS)
            self._clock.sleep_ms(pause_ms)

    def follow_peers(self) -> None:
        """Fetches each higher version that a peer has, forever."""
        while True:
            self._newer.wait()
            self._newer.clear()
            host, version = self._newer_host, self._newer_version
            if version <= self._routes.table.version:
                continue
            answer = self._source.read_from(host)
            if isinstance(answer, Err):
                self._log.warning(
                    'peer_configuration_failed',
                    host=host,
                    version=version,
                    reason=answer.err_value.reason,
                    remedy=answer.err_value.remedy,
                )
                self._newer_version = 0
                continue
            self._routes.offer(answer.ok_value, f'peer:{host}')

    def _read_store(self) -> int:
        """Reads the store once; returns the pause until the next look."""
        started_ms = self._clock.now_ms()
        answer = self._source.read()
        took_ms = self._clock.now_ms() - started_ms
        if isinstance(answer, Err):
            if not self._is_store_lost:
                self._is_store_lost = True
                self._log.warning(
                    'store_lost',
                    took_ms=took_ms,
                    reason=answer.err_value.reason,
                    remedy=answer.err_value.remedy,
                )
            return int(_RETRY_MS * self._random.uniform(0.5, 1.5))
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.event('store_regained', took_ms=took_ms)
        table = answer.ok_value
        if table.version < self._routes.table.version:
            self._log.warning(
                'store_returned_older_version',
                version=table.version,
                in_force=self._routes.table.version,
                remedy='none needed; the newer version stays in force',
            )
        self._routes.offer(table, 'store')
        self._routes.confirm(table.version, took_ms)
        self._introducer.announce()
        self._draw_limit()
        return _LOOK_MS

    def _await_peers(self) -> None:
        if self._roster.own.role != NodeRole.BALANCER:
            return
        started_ms = self._clock.now_ms()
        while not self._routes.is_loaded:
            if self._clock.now_ms() - started_ms > _PEERS_FIRST_MS:
                return
            self._clock.sleep_ms(_LOOK_MS)

    def _draw_limit(self) -> None:
        limit_ms = _CHECK_MS + self._random.randint(0, _SPREAD_MS)
        if self._roster.own.role == NodeRole.BALANCER:
            limit_ms += _BALANCER_EXTRA_MS
        self._limit_ms = limit_ms
