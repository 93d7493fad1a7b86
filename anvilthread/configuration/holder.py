"""The record of the highest revision that a node has seen."""

from collections.abc import Callable
from typing import Final

import msgspec
from absl import logging
from result import Ok

from anvilthread.configuration.configuration import Configuration
from anvilthread.configuration.delta import Delta, make_delta
from anvilthread.configuration.loader import load_site
from anvilthread.configuration.record import ConfigurationRecord
from anvilthread.configuration.record_codec import (
    encode_record,
    record_digest,
)

#: Latest deltas that a node caches for its peers. A peer that is further
#: behind gets the whole record.
_MAX_CACHED_DELTAS: Final = 16

_OLDER_REMEDY: Final = (
    'none needed; nodes that reach the store write the newer record back'
)
_DIFFERS_REMEDY: Final = 'apply the intended files again'

#: Called with the record and the configuration of this node's site.
Listener = Callable[[ConfigurationRecord, Configuration], None]


class ConfigurationHolder:
    """Holds the record in force; only a higher revision replaces it.

    Args:
        site: Site of this node.
    """

    __slots__ = (
        '_deltas',
        '_digest',
        '_encoded_record',
        '_last_ignored',
        '_listeners',
        '_record',
        '_site',
    )

    def __init__(self, *, site: str) -> None:
        self._site = site
        self._record: ConfigurationRecord | None = None
        self._digest = b''
        self._encoded_record = b''
        self._deltas: dict[int, Delta] = {}
        self._listeners: list[Listener] = []
        self._last_ignored: tuple[str, int] | None = None

    @property
    def record(self) -> ConfigurationRecord | None:
        """The record in force."""
        return self._record

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none yet."""
        return self._record.revision if self._record else 0

    @property
    def encoded_record(self) -> bytes:
        """The compressed record in force."""
        return self._encoded_record

    def subscribe(self, listener: Listener) -> None:
        """Calls a listener whenever a configuration comes into force."""
        self._listeners.append(listener)

    def adopt_if_newer(self, record: ConfigurationRecord, source: str) -> bool:
        """Adopts a record if its revision is higher.

        Args:
            record: A record from the store or a peer.
            source: Name of the store or the peer, for the log.

        Returns:
            Whether the record is now in force.
        """
        if record.revision <= self.revision:
            self._log_ignored(record, source)
            return False
        if self._record is not None:
            self._cache_delta(make_delta(self._record, record))
        encoded = encode_record(record)
        if isinstance(encoded, Ok):
            self._encoded_record = encoded.ok_value
        self._record = record
        self._digest = record_digest(record)
        logging.info(
            'event=configuration_adopted revision=%d change=%s source=%s',
            record.revision,
            record.change.change_id,
            source,
        )
        self._notify_listeners(record)
        return True

    def deltas_from(self, revision: int) -> tuple[Delta, ...]:
        """Returns the deltas from a revision to the one in force.

        Args:
            revision: Revision that the requesting node holds.

        Returns:
            The deltas in order; none if one of them is not cached, or if they
            take at least as many bytes as the whole record.
        """
        chain: list[Delta] = []
        while revision < self.revision:
            delta = self._deltas.get(revision)
            if delta is None:
                return ()
            chain.append(delta)
            revision = delta.changes[-1].revision
        size = len(msgspec.msgpack.encode(chain))
        return tuple(chain) if size < len(self._encoded_record) else ()

    def _cache_delta(self, delta: Delta) -> None:
        if not delta.changes:
            return
        self._deltas[delta.base] = delta
        if len(self._deltas) > _MAX_CACHED_DELTAS:
            self._deltas.pop(next(iter(self._deltas)))

    def _notify_listeners(self, record: ConfigurationRecord) -> None:
        loaded = load_site(record.texts, self._site)
        if not isinstance(loaded, Ok):
            logging.error(
                'event=configuration_not_understood revision=%d reason="%s" '
                'remedy="run the version of the command that applied it on '
                'this node"',
                record.revision,
                '; '.join(map(str, loaded.err_value.problems)),
            )
            return
        for listener in self._listeners:
            listener(record, loaded.ok_value)

    def _log_ignored(self, record: ConfigurationRecord, source: str) -> None:
        ignored = (source, record.revision)
        is_same = record.revision == self.revision
        if is_same and record_digest(record) == self._digest:
            return
        if ignored == self._last_ignored:
            return
        self._last_ignored = ignored
        logging.warning(
            'event=%s revision=%d in_force=%d source=%s remedy="%s"',
            'configuration_differs' if is_same else 'configuration_older',
            record.revision,
            self.revision,
            source,
            _DIFFERS_REMEDY if is_same else _OLDER_REMEDY,
        )
