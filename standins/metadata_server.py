"""The platform's metadata store over HTTP, with faults."""

import base64
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Final
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.pywsgi import WSGIServer

#: Delay of a lost answer, longer than any time-out of a caller.
_LOST_ANSWER_DELAY_S: Final = 20.0

_TTL_MS: Final = 3000

_PAGE_ITEMS: Final = 500

_StartResponse = Callable[[str, list[tuple[str, str]]], object]
_Answer = tuple[str, dict[str, object]]

_OK: Final = '200 OK'
_NOT_FOUND: Final = '404 Not Found'


class StoredItem(msgspec.Struct, frozen=True, kw_only=True):
    """One key.

    Attributes:
        value: Its bytes.
        revision: Revision of its last change.
        lease_id: Lease that it ends with; 0 if there is none.
    """

    value: bytes
    revision: int
    lease_id: int = 0


class MetadataCopy(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of the store at one time, to restore them later."""

    revision: int
    items: dict[str, StoredItem]
    leases: frozenset[int]


class MetadataServer:
    """Stores keys with revisions; leases never expire by themselves.

    Args:
        endpoint: Host and port to listen on.
        seed: Seed of lost answers and of delays.
    """

    def __init__(self, *, endpoint: tuple[str, int], seed: int = 1) -> None:
        self._random = Random(seed)
        self._revision = 1
        self._items: dict[str, StoredItem] = {}
        self._leases: set[int] = set()
        self._server = WSGIServer(
            endpoint, self._serve, log=None, error_log=None
        )
        #: Rises by one with each restore.
        self.era = 1
        #: ``up``, ``silent``, ``busy``, ``lost`` (half of the answers) or
        #: ``slow``.
        self.mode = 'up'
        #: Items on one page of a range.
        self.page_size = _PAGE_ITEMS
        #: Number of calls by path.
        self.calls: Counter[str] = Counter()
        #: Hosts that get status 503 while others are served.
        self.refused: set[str] = set()

    @property
    def port(self) -> int:
        """Port that the store listens on."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Starts to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening."""
        self._server.stop()

    def write(self, key: str, value: bytes) -> int:
        """Writes a key as the operator does; returns its revision."""
        self._revision += 1
        self._items[key] = StoredItem(value=value, revision=self._revision)
        return self._revision

    def remove(self, key: str) -> None:
        """Removes a key as the operator does."""
        self._revision += 1
        self._items.pop(key, None)

    def keys(self, prefix: str) -> list[str]:
        """Lists the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def save_copy(self) -> MetadataCopy:
        """Returns a copy of keys, leases and revision."""
        return MetadataCopy(
            revision=self._revision,
            items=dict(self._items),
            leases=frozenset(self._leases),
        )

    def restore_copy(self, copy: MetadataCopy) -> None:
        """Replaces all contents by a copy, and starts the next era.

        What was written since is gone, and its revisions and lease IDs are
        given out again.
        """
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._leases = set(copy.leases)
        self.era += 1

    def _serve(
        self, environment: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        host = environment['REMOTE_ADDR']
        headers = [('Content-Type', 'application/json')]
        if self.mode == 'silent':
            gevent.sleep(_LOST_ANSWER_DELAY_S)
        if self.mode == 'slow':
            gevent.sleep(self._random.uniform(0.05, 0.4))
        if self.mode == 'busy' or host in self.refused:
            headers.append(('Store-Era', str(self.era)))
            start_response('503 Service Unavailable', headers)
            return [b'{}']
        body = environment['wsgi.input'].read()
        status, answer = self._answer(environment, body)
        headers.append(('Store-Era', str(self.era)))
        if self.mode == 'lost' and self._random.random() < 0.5:
            gevent.sleep(_LOST_ANSWER_DELAY_S)
        start_response(status, headers)
        return [msgspec.json.encode(answer)]

    def _answer(self, environment: dict[str, Any], body: bytes) -> _Answer:
        query = parse_qs(environment['QUERY_STRING'])
        path = environment['PATH_INFO']
        self.calls[path] += 1
        if path == '/kv-key':
            return self._get(query['key'][0])
        if path == '/kv-range':
            return self._range(query['prefix'][0], query.get('after', [''])[0])
        if path == '/kv-txn':
            return self._commit(msgspec.json.decode(body))
        if path == '/kv-watch':
            return self._watch(int(query['after'][0]))
        return self._answer_lease(path)

    def _get(self, key: str) -> _Answer:
        if key not in self._items:
            return _NOT_FOUND, {'at': self._revision}
        return _OK, {**self._item(key), 'at': self._revision}

    def _range(self, prefix: str, after: str) -> _Answer:
        keys = [key for key in self.keys(prefix) if key > after]
        page = keys[: self.page_size]
        return _OK, {
            'items': [self._item(key) for key in page],
            'has_more': len(page) < len(keys),
            'at': self._revision,
        }

    def _watch(self, after: int) -> _Answer:
        if after > self._revision:
            return '410 Gone', {'at': self._revision}
        return _OK, {'events': [], 'at': self._revision}

    def _commit(self, txn: dict[str, Any]) -> _Answer:
        for row in txn['expect']:
            current = self._items.get(row['key'])
            if (current.revision if current else 0) != row['revision']:
                return '412 Precondition Failed', {'items': []}
        if any(row['key'].startswith('op/') for row in txn['set_keys']):
            return '403 Forbidden', {'error': 'written by the operator only'}
        leases = {row['lease_id'] for row in txn['set_keys']}
        if leases - self._leases - {0}:
            return _NOT_FOUND, {'error': 'no such lease'}
        self._revision += 1
        for row in txn['set_keys']:
            self._items[row['key']] = StoredItem(
                value=base64.b64decode(row['value']),
                revision=self._revision,
                lease_id=row['lease_id'],
            )
        for key in txn['remove']:
            self._items.pop(key, None)
        return _OK, {'revision': self._revision}

    def _answer_lease(self, path: str) -> _Answer:
        action, _, lease_text = path.removeprefix('/').partition('/')
        if action == 'kv-lease':
            lease_id = max(self._leases, default=0) + 1
            self._leases.add(lease_id)
            return _OK, {'lease_id': lease_id, 'ttl_ms': _TTL_MS}
        lease_id = int(lease_text or 0)
        if lease_id not in self._leases:
            return _NOT_FOUND, {'error': 'no such lease'}
        if action == 'kv-lease-end':
            self._end_lease(lease_id)
        return _OK, {'ttl_ms': _TTL_MS}

    def _end_lease(self, lease_id: int) -> None:
        self._leases.discard(lease_id)
        self._revision += 1
        self._items = {
            key: item
            for key, item in self._items.items()
            if item.lease_id != lease_id
        }

    def _item(self, key: str) -> dict[str, object]:
        item = self._items[key]
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'created_at': item.revision,
            'lease_id': item.lease_id,
        }
