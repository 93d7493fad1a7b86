"""The platform's metadata store over HTTP, with faults."""

import base64
from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Final
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.pywsgi import WSGIServer

#: Delay of a lost answer, longer than any time-out of a caller.
_LOST_ANSWER_DELAY_S: Final = 20.0

_StartResponse = Callable[[str, list[tuple[str, str]]], object]


class MetadataServer:
    """Stores keys with revisions; leases are granted and never expire.

    Args:
        endpoint: Host and port to listen on.
        seed: Seed of lost answers and of delays.
    """

    def __init__(self, *, endpoint: tuple[str, int], seed: int = 1) -> None:
        self._random = Random(seed)
        self._revision = 1
        self._items: dict[str, tuple[bytes, int]] = {}
        self._server = WSGIServer(
            endpoint, self._serve, log=None, error_log=None
        )
        #: ``up``, ``silent``, ``busy``, ``lost`` (half of the answers) or
        #: ``slow``.
        self.mode = 'up'
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
        self._items[key] = (value, self._revision)
        return self._revision

    def _serve(
        self, environment: dict[str, Any], start_response: _StartResponse
    ) -> Iterable[bytes]:
        host = environment['REMOTE_ADDR']
        if self.mode == 'silent':
            gevent.sleep(_LOST_ANSWER_DELAY_S)
        if self.mode == 'slow':
            gevent.sleep(self._random.uniform(0.05, 0.4))
        if self.mode == 'busy' or host in self.refused:
            start_response('503 Service Unavailable', [])
            return [b'{}']
        body = environment['wsgi.input'].read()
        status, answer = self._answer(environment, body)
        if self.mode == 'lost' and self._random.random() < 0.5:
            gevent.sleep(_LOST_ANSWER_DELAY_S)
        start_response(status, [('Content-Type', 'application/json')])
        return [msgspec.json.encode(answer)]

    def _answer(
        self, environment: dict[str, Any], body: bytes
    ) -> tuple[str, dict[str, object]]:
        query = parse_qs(environment['QUERY_STRING'])
        path = environment['PATH_INFO']
        if path == '/kv-key':
            return self._get(query['key'][0])
        if path == '/kv-range':
            return self._range(query['prefix'][0])
        if path == '/kv-txn':
            return self._commit(msgspec.json.decode(body))
        if path == '/kv-watch':
            return '200 OK', {'events': [], 'at': self._revision}
        if path == '/kv-lease':
            return '200 OK', {'lease_id': 7, 'ttl_ms': 3000}
        if path.startswith(('/kv-keep/', '/kv-lease-end/')):
            return '200 OK', {'ttl_ms': 3000}
        return '404 Not Found', {'error': 'no such call'}

    def _get(self, key: str) -> tuple[str, dict[str, object]]:
        if key not in self._items:
            return '404 Not Found', {'at': self._revision}
        return '200 OK', {**self._item(key), 'at': self._revision}

    def _range(self, prefix: str) -> tuple[str, dict[str, object]]:
        keys = sorted(key for key in self._items if key.startswith(prefix))
        return '200 OK', {
            'items': [self._item(key) for key in keys],
            'has_more': False,
            'at': self._revision,
        }

    def _commit(self, txn: dict[str, Any]) -> tuple[str, dict[str, object]]:
        for row in txn['expect']:
            current = self._items.get(row['key'], (b'', 0))
            if current[1] != row['revision']:
                return '412 Precondition Failed', {'items': []}
        if any(row['key'].startswith('op/') for row in txn['set_keys']):
            return '403 Forbidden', {'error': 'written by the operator only'}
        self._revision += 1
        for row in txn['set_keys']:
            content = base64.b64decode(row['value'])
            self._items[row['key']] = (content, self._revision)
        for key in txn['remove']:
            self._items.pop(key, None)
        return '200 OK', {'revision': self._revision}

    def _item(self, key: str) -> dict[str, object]:
        value, revision = self._items[key]
        return {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': revision,
            'created_at': revision,
            'lease_id': 0,
        }
