"""Keeps the configuration of one node up to date."""

from random import Random
from typing import Final

from gevent.event import Event
from result import Err, Ok, Result

from anvilthread.clock import Clock
from anvilthread.error import AnvilthreadError
from anvilthread.flows.configuration_source import ConfigurationSource
from anvilthread.flows.introducer import Introducer
from anvilthread.flows.node_record import NodeRole
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.route_table import RouteTable
from anvilthread.flows.store_era import StoreEra
from anvilthread.flows.store_reading import StoreReading
from anvilthread.telemetry.log import Log

#: Age of the last check from which an agent reads the store again. A change
#: must be in force within 3 s: this age, the jitter, one timeout of a store
#: call (500 ms) and the time to notify the peers stay below that.
_MAX_CHECK_AGE_MS: Final = 900

#: Added to the age at balancers, so that agents, whose links have more
#: bandwidth, do most of the reads.
_BALANCER_EXTRA_AGE_MS: Final = 400

#: Maximum random addition to the age, so that mostly one node reads.
_JITTER_MS: Final = 500

#: Maximum time between two checks of the age.
_POLL_INTERVAL_MS: Final = 100

#: Time that a starting balancer waits for a configuration from its peers
#: before it reads the store itself. Agents have a larger share of a processor
#: and start first.
_PEERS_FIRST_TIMEOUT_MS: Final = 700

#: Mean delay after a failed read, so that retries do not prolong an outage.
_RETRY_DELAY_MS: Final = 400


class ConfigurationFollower:
    """Polls the store, and fetches newer versions from peers.

    The store is polled rather than watched: a watch without events does not
    show that nothing has changed. A node that has read the store announces
    the version to all others, so the number of calls does not grow with the
    number of nodes.

    Args:
        clock: Source of time and delays.
        random: Source of the jitter.
        source: Store and peers.
        routes: Holder of the version in force.
        roster: This node and its peers.
        introducer: Announces the version and the age of its check to peers.
        store_era: Era of the store, for the log.
        log: Receives the loss and return of the store.
    """

    __slots__ = (
        '_clock',
        '_introducer',
        '_is_store_lost',
        '_log',
        '_max_check_age_ms',
        '_newer_available',
        '_newer_host',
        '_newer_version',
        '_random',
        '_roster',
        '_routes',
        '_source',
        '_store_era',
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
        store_era: StoreEra,
        log: Log,
    ) -> None:
        self._clock = clock
        self._random = random
        self._source = source
        self._routes = routes
        self._roster = roster
        self._introducer = introducer
        self._store_era = store_era
        self._log = log
        self._newer_available = Event()
        self._newer_host = ''
        self._newer_version = 0
        self._is_store_lost = False
        self._max_check_age_ms = 0

    def on_version(self, host: str, version: int, check_age_ms: int) -> None:
        """Fetches the version of a peer if it is higher than this node's.

        If it is not, the check of the peer counts for this node as well.
        """
        if version > self._routes.table.version:
            if version >= self._newer_version:
                self._newer_version = version
                self._newer_host = host
            self._newer_available.set()
        else:
            self._routes.confirm(check_age_ms)

    def follow_store(self) -> None:
        """Reads the store whenever the last check is too old; never returns."""
        self._draw_max_check_age()
        self._await_peers()
        while True:
            check_age_ms = self._check_age_ms
            if not 0 <= check_age_ms < self._max_check_age_ms:
                pause_ms = self._read_store()
            else:
                pause_ms = min(
                    self._max_check_age_ms - check_age_ms, _POLL_INTERVAL_MS
                )
            self._clock.sleep_ms(pause_ms)

    def follow_peers(self) -> None:
        """Fetches each higher version that a peer has; never returns."""
        while True:
            self._newer_available.wait()
            self._newer_available.clear()
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
            self._apply_peer(answer.ok_value, f'peer:{host}')

    def _read_store(self) -> int:
        """Reads the store once; returns the delay until the next check in ms."""
        started_ms = self._clock.now_ms()
        answer = self._source.read()
        took_ms = self._clock.now_ms() - started_ms
        if isinstance(answer, Ok):
            self._apply_evacuation(answer.ok_value, took_ms)
        configuration = answer.and_then(_configuration_of)
        if isinstance(configuration, Err):
            if not self._is_store_lost:
                self._is_store_lost = True
                self._log.warning(
                    'store_lost',
                    took_ms=took_ms,
                    reason=configuration.err_value.reason,
                    remedy=configuration.err_value.remedy,
                )
            return int(_RETRY_DELAY_MS * self._random.uniform(0.5, 1.5))
        if self._is_store_lost:
            self._is_store_lost = False
            self._log.event('store_regained', took_ms=took_ms)
        self._apply_store(configuration.ok_value, took_ms)
        return _POLL_INTERVAL_MS

    def _apply_store(self, table: RouteTable, took_ms: int) -> None:
        if table.version < self._routes.table.version:
            self._log.warning(
                'store_returned_older_version',
                version=table.version,
                in_force=self._routes.table.version,
                era=self._store_era.number,
                remedy='none needed; the newer version stays in force',
            )
        self._routes.update(table, 'store')
        self._routes.confirm(took_ms)
        self._introducer.announce()
        self._draw_max_check_age()

    def _apply_evacuation(self, reading: StoreReading, took_ms: int) -> None:
        if reading.evacuation is None:
            return
        evacuations = self._routes.evacuations
        before = evacuations.sites
        evacuations.update(reading.evacuation, 'store', took_ms)
        # A lower view counts as a check as well, as with the configuration.
        evacuations.confirm(took_ms)
        evacuations.ignore(reading.ignored, 'store')
        has_changed = evacuations.sites != before
        if has_changed and isinstance(reading.configuration, Err):
            # Otherwise, the configuration is announced at each read.
            self._introducer.announce()

    def _apply_peer(self, reading: StoreReading, source: str) -> None:
        # Before the configuration, which is not in force without it.
        if reading.evacuation is not None:
            self._routes.evacuations.update(
                reading.evacuation, source, reading.evacuation_age_ms
            )
        if isinstance(reading.configuration, Ok):
            self._routes.update(reading.configuration.ok_value, source)

    @property
    def _check_age_ms(self) -> int:
        """Age in ms of the last check of all keys; negative if unknown.

        Load reports confirm the configuration only, so evacuated sites have an
        age of their own: a node that gets no hellos reads the store itself.
        """
        ages_ms = [self._routes.check_age_ms]
        evacuations = self._routes.evacuations
        if evacuations.is_enabled:
            ages_ms.append(evacuations.age_ms)
        return min(ages_ms) if min(ages_ms) < 0 else max(ages_ms)

    def _await_peers(self) -> None:
        if self._roster.local_node.role != NodeRole.BALANCER:
            return
        started_ms = self._clock.now_ms()
        while not self._routes.is_loaded:
            if self._clock.now_ms() - started_ms > _PEERS_FIRST_TIMEOUT_MS:
                return
            self._clock.sleep_ms(_POLL_INTERVAL_MS)

    def _draw_max_check_age(self) -> None:
        max_age_ms = _MAX_CHECK_AGE_MS + self._random.randint(0, _JITTER_MS)
        if self._roster.local_node.role == NodeRole.BALANCER:
            max_age_ms += _BALANCER_EXTRA_AGE_MS
        self._max_check_age_ms = max_age_ms


def _configuration_of(
    reading: StoreReading,
) -> Result[RouteTable, AnvilthreadError]:
    return reading.configuration
