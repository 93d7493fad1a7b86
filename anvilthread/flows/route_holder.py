"""The configuration in force at one node."""

from typing import Final

from anvilthread.clock import Clock
from anvilthread.flows.evacuation_holder import EvacuationHolder
from anvilthread.flows.route_table import RouteTable
from anvilthread.telemetry.log import Log

#: Idle timeout of flows before the first configuration is known.
_DEFAULT_IDLE_MS: Final = 15_000

_NEVER_CHECKED: Final = -1

#: Names of unusable values in one log line.
_MAX_LOGGED_FIELDS: Final = 8


class RouteHolder:
    """Holds the highest version seen; an older one never replaces it.

    Args:
        clock: Clock for the age of the last check.
        log: Receives each change of the version.
        evacuations: Evacuated sites. Until they are known, no configuration
            is in force, so that no flow reaches an evacuated site. None where
            sites are not evacuated.
    """

    __slots__ = (
        '_checked_at_ms',
        '_clock',
        '_differing_document',
        '_empty_table',
        '_evacuations',
        '_log',
        '_table',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        log: Log,
        evacuations: EvacuationHolder | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._evacuations = evacuations or EvacuationHolder(
            clock=clock, log=log, is_enabled=False
        )
        self._empty_table = RouteTable(
            version=0, routes={}, idle_ms=_DEFAULT_IDLE_MS, document=b''
        )
        self._table = self._empty_table
        self._checked_at_ms: int | None = None
        self._differing_document = b''

    @property
    def table(self) -> RouteTable:
        """The version in force."""
        return self._table if self._evacuations.is_known else self._empty_table

    @property
    def evacuations(self) -> EvacuationHolder:
        """The evacuated sites."""
        return self._evacuations

    @property
    def is_loaded(self) -> bool:
        """Whether any version is known."""
        return self.table.version > 0

    @property
    def check_age_ms(self) -> int:
        """Age in ms of the last check of the version with the store; -1 if
        there was none.
        """
        if self._checked_at_ms is None or not self._evacuations.is_known:
            return _NEVER_CHECKED
        return self._clock.now_ms() - self._checked_at_ms

    def update(self, table: RouteTable, source: str) -> bool:
        """Puts a version in force if it is higher than the current one.

        Args:
            table: The version to put in force.
            source: Origin of the version, for the log.

        Returns:
            Whether the version in force has changed.
        """
        before = self._table.version
        if table.version <= before:
            if table.version == before:
                self._compare_documents(table, source)
            return False
        self._table = table
        self._log.event(
            'configuration_changed',
            version=table.version,
            previous=before,
            routes=len(table),
            source=source,
        )
        if table.ignored_fields:
            self._log.warning(
                'configuration_fields_ignored',
                version=table.version,
                fields=','.join(table.ignored_fields[:_MAX_LOGGED_FIELDS]),
                count=len(table.ignored_fields),
                remedy='correct these values; defaults are used instead',
            )
        return True

    def confirm(self, check_age_ms: int) -> None:
        """Records that the store held no version above the one in force.

        An older version counts as well: a store that was restored from a copy
        returns one until the operator has written again what it lost.

        Args:
            check_age_ms: Age of the store's answer in ms; negative if unknown.
        """
        if check_age_ms < 0:
            return
        checked_at_ms = self._clock.now_ms() - check_age_ms
        if self._checked_at_ms is None or checked_at_ms > self._checked_at_ms:
            self._checked_at_ms = checked_at_ms

    def _compare_documents(self, table: RouteTable, source: str) -> None:
        """Logs another document under the number of the version in force."""
        document = table.document
        if document == self._table.document:
            return
        if document == self._differing_document:
            return
        self._differing_document = document
        self._log.warning(
            'configuration_differs',
            version=table.version,
            source=source,
            remedy='write the intended configuration under a higher version',
        )
