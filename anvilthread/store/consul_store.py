"""Client for the Consul KV HTTP API."""

import math
from typing import Final
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result
from urllib3 import BaseHTTPResponse

from anvilthread.clock import Clock
from anvilthread.decoding import DECODE_ERRORS
from anvilthread.store.call_counts import CallCounts
from anvilthread.store.call_kind import CallKind
from anvilthread.store.consul_http import ConsulHttp
from anvilthread.store.consul_messages import (
    KeyEntry,
    KeyOperation,
    Operation,
    SessionCreated,
    SessionRequest,
)
from anvilthread.store.fencing_counter import FencingCounter
from anvilthread.store.lease import Lease
from anvilthread.store.snapshot import Snapshot
from anvilthread.store.store_error import (
    StoreAnswerLost,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from anvilthread.store.write_guard import WriteGuard

_TIMEOUT_MS: Final = 2000
_MS_PER_SECOND: Final = 1000
#: The API accepts sessions of 10 s to one day.
_MIN_TTL_MS: Final = 10_000
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
#: The store adds up to one sixteenth to the wait of a blocking query.
_WAIT_JITTER_DIVISOR: Final = 16
_entries: Final = msgspec.json.Decoder(list[KeyEntry])
_session: Final = msgspec.json.Decoder(SessionCreated)

#: Besides those of the decoder, that of an answer without an entry.
_ENTRY_ERRORS: Final = (*DECODE_ERRORS, IndexError)


class ConsulStore:
    """A :class:`Store` over ``/v1/kv`` and ``/v1/session``.

    Args:
        url: Root of the HTTP API, such as ``http://127.0.0.1:8500``.
        clock: Clock of the leases.
        timeout_ms: Longest time of a call, without the wait of a watch.
    """

    __slots__ = ('_clock', '_fencing', '_http')

    def __init__(
        self, *, url: str, clock: Clock, timeout_ms: int = _TIMEOUT_MS
    ) -> None:
        self._clock = clock
        self._http = ConsulHttp(url=url, timeout_ms=timeout_ms)
        self._fencing = FencingCounter(store=self, clock=clock)

    @property
    def counts(self) -> CallCounts:
        """HTTP requests sent so far."""
        return self._http.counts

    def get(self, key: str) -> Result[Snapshot, StoreError]:
        """Reads a key from the leader of the store."""
        path = f'{_path(key)}?consistent'
        answer = self._http.read(path, CallKind.READ)
        return answer.and_then(_read_snapshot)

    def put(
        self,
        key: str,
        value: bytes,
        revision: int,
        guard: WriteGuard | None = None,
    ) -> Result[None, StoreError]:
        """Writes a key if its revision is still the given one."""
        if guard is not None:
            body = _encode_transaction(key, value, revision, guard)
            return self._http.write('/v1/txn', CallKind.WRITE, body).and_then(
                lambda response: _check_committed(response, key)
            )
        path = f'{_path(key)}?cas={revision}'
        answer = self._http.write(path, CallKind.WRITE, value)
        return answer.and_then(lambda response: _check_written(response, key))

    def watch(
        self, key: str, index: int, wait_ms: int
    ) -> Result[Snapshot, StoreError]:
        """Reads a key once it has changed."""
        path = f'{_path(key)}?index={index}&wait={wait_ms}ms'
        limit_ms = wait_ms + wait_ms // _WAIT_JITTER_DIVISOR
        answer = self._http.read(path, CallKind.WATCH, limit_ms)
        return answer.and_then(_read_snapshot)

    def acquire(self, name: str, ttl_ms: int) -> Result[Lease, StoreError]:
        """Acquires a lease of at least 10 s.

        A session whose creation or use fails is left to expire.
        """
        ttl_ms = max(ttl_ms, _MIN_TTL_MS)
        start_ms = self._clock.now_ms()
        created = self._create_session(ttl_ms)
        if isinstance(created, Err):
            return created
        session = created.ok_value
        path = f'{_path(name)}?acquire={session}'
        self._http.write(path, CallKind.LEASE)
        # The read resolves a lost answer.
        holder = self._http.read(f'{_path(name)}?consistent', CallKind.LEASE)
        entry = holder.and_then(_read_entry)
        if isinstance(entry, Err):
            return entry
        if entry.ok_value.session != session:
            return Err(StoreConflict(key=name))
        return self._fencing.advance(name).map(
            lambda number: Lease(
                name=name,
                session=session,
                fencing=number,
                ttl_ms=ttl_ms,
                expires_ms=start_ms + ttl_ms,
            )
        )

    def renew(self, lease: Lease) -> Result[Lease, StoreError]:
        """Extends a lease; ``StoreConflict`` if it has lapsed."""
        start_ms = self._clock.now_ms()
        path = f'/v1/session/renew/{lease.session}'
        answer = self._http.write(path, CallKind.LEASE)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.status == _NOT_FOUND:
            return Err(StoreConflict(key=lease.name))
        return Ok(
            msgspec.structs.replace(lease, expires_ms=start_ms + lease.ttl_ms)
        )

    def release(self, lease: Lease) -> Result[None, StoreError]:
        """Releases a lease by destroying its session."""
        path = f'/v1/session/destroy/{lease.session}'
        return self._http.write(path, CallKind.LEASE).map(_discard)

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    def _create_session(self, ttl_ms: int) -> Result[str, StoreError]:
        seconds = math.ceil(ttl_ms / _MS_PER_SECOND)
        body = msgspec.json.encode(SessionRequest(ttl=f'{seconds}s'))
        answer = self._http.write('/v1/session/create', CallKind.LEASE, body)
        return answer.and_then(_read_session)


def _path(key: str) -> str:
    return f'/v1/kv/{quote(key)}'


def _read_snapshot(response: BaseHTTPResponse) -> Result[Snapshot, StoreError]:
    try:
        index = int(response.headers.get('X-Consul-Index', '0'))
    except ValueError:
        return Err(
            StoreUnavailable(
                reason='the index in X-Consul-Index is not a number'
            )
        )
    if response.status == _NOT_FOUND:
        return Ok(Snapshot(value=None, revision=0, index=index))
    return _read_entry(response).map(
        lambda entry: Snapshot(
            value=entry.value or b'', revision=entry.modify_index, index=index
        )
    )


def _read_entry(response: BaseHTTPResponse) -> Result[KeyEntry, StoreError]:
    try:
        return Ok(_entries.decode(response.data)[0])
    except _ENTRY_ERRORS as error:
        return Err(StoreUnavailable(reason=f'malformed answer, {error}'))


def _read_session(response: BaseHTTPResponse) -> Result[str, StoreError]:
    try:
        return Ok(_session.decode(response.data).session_id)
    except DECODE_ERRORS as error:
        return Err(StoreUnavailable(reason=f'malformed answer, {error}'))


def _encode_transaction(
    key: str, value: bytes, revision: int, guard: WriteGuard
) -> bytes:
    operations = [
        KeyOperation(verb='cas', key=key, value=value, index=revision)
    ]
    if guard.replaced:
        operations += [
            KeyOperation(
                verb='check-index', key=guard.replaced, index=revision
            ),
            KeyOperation(verb='delete', key=guard.replaced),
        ]
    operations.append(KeyOperation(verb='set', key=guard.created))
    return msgspec.json.encode(
        [Operation(key_operation=operation) for operation in operations]
    )


def _check_committed(
    response: BaseHTTPResponse, key: str
) -> Result[None, StoreError]:
    if response.status == _CONFLICT:
        return Err(StoreConflict(key=key))
    return Ok(None)


def _check_written(
    response: BaseHTTPResponse, key: str
) -> Result[None, StoreError]:
    body = response.data.strip()
    if body == b'true':
        return Ok(None)
    if body == b'false':
        return Err(StoreConflict(key=key))
    return Err(StoreAnswerLost(reason=f'malformed answer {body[:20]!r}'))


def _discard(response: BaseHTTPResponse) -> None:
    """Discards an answer whose content does not matter."""
