"""A key-value store stand-in with the Consul KV HTTP API.

Run ``python -m standins.store --listen 127.0.0.1:8500``.
``PUT /control/faults`` with a JSON body sets the faults, ``PUT /control/copy``
saves a copy of all keys and sessions, and ``PUT /control/restore`` returns to
it.
"""

from collections.abc import Callable, Iterable
from random import Random
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import msgspec
import typer
from gevent.pywsgi import WSGIServer

from anvilthread.address import Address
from anvilthread.clock import Clock, SystemClock
from anvilthread.store import CallKind, WriteGuard
from anvilthread.store.consul_messages import Operation
from standins.store_state import (
    MAX_VALUE_BYTES,
    StoredValue,
    StoreFaults,
    StoreLimits,
    StoreState,
)

_KEY_PREFIX: Final = '/v1/kv/'
_SESSION_PREFIX: Final = '/v1/session/'
_TRANSACTION_PATH: Final = '/v1/txn'
_DEFAULT_WAIT_MS: Final = 300_000
_MS_PER_SECOND: Final = 1000
_UNITS: Final = {'ms': 1, 's': _MS_PER_SECOND, 'm': 60 * _MS_PER_SECOND}

Environment = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP answer.

    Attributes:
        status: Status code and reason phrase.
        body: Body of the answer.
        index: Value of the header ``X-Consul-Index``; None for no header.
        missing: Number of announced bytes that are not sent.
    """

    status: str = '200 OK'
    body: bytes = b''
    index: int | None = None
    missing: int = 0


#: The connection is closed before the announced length has been sent.
_LOST: Final = Answer(missing=1)


class StoreServer:
    """Serves a :class:`StoreState` over HTTP.

    Args:
        listen: Address to bind; port 0 selects a free port.
        clock: Clock of sessions, rates and waits.
        seed: Seed of the session IDs.
        limits: Limits beyond which calls get status 429.
    """

    def __init__(
        self,
        *,
        listen: Address,
        clock: Clock,
        seed: int = 0,
        limits: StoreLimits | None = None,
    ) -> None:
        self._clock = clock
        self.state = StoreState(
            clock=clock, random=Random(seed), limits=limits or StoreLimits()
        )
        self._copy = self.state.save_copy()
        self._server = WSGIServer(
            listen.endpoint, self._serve, log=None, error_log=None
        )

    @property
    def url(self) -> str:
        """Root of the HTTP API."""
        return f'http://{self._server.server_host}:{self._server.server_port}'

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def run(self) -> None:
        """Serves until the task is killed."""
        self._server.serve_forever()

    def stop(self) -> None:
        """Closes the listening socket and the connections."""
        self._server.stop(timeout=0)

    def _serve(
        self, environment: Environment, start_response: StartResponse
    ) -> Iterable[bytes]:
        answer = self._answer(environment)
        headers = [('Content-Length', str(len(answer.body) + answer.missing))]
        if answer.missing:
            headers.append(('Connection', 'close'))
        if answer.index is not None:
            headers.append(('X-Consul-Index', str(answer.index)))
        start_response(answer.status, headers)
        return [answer.body]

    def _answer(self, environment: Environment) -> Answer:
        path = str(environment['PATH_INFO'])
        query = parse_qs(environment['QUERY_STRING'], keep_blank_values=True)
        body = environment['wsgi.input'].read()
        if path.startswith('/control/'):
            return self._control(environment['REQUEST_METHOD'], path, body)
        kind = _kind(environment['REQUEST_METHOD'], path, query)
        faults = self.state.faults
        if faults.outage:
            return _LOST
        if not self.state.admit(kind):
            return Answer(status='429 Too Many Requests')
        self._clock.sleep_ms(faults.delay_ms)
        if environment['REQUEST_METHOD'] == 'GET':
            return self._read(unquote(path.removeprefix(_KEY_PREFIX)), query)
        return self._write(path, query, body)

    def _control(self, method: str, path: str, body: bytes) -> Answer:
        if path == '/control/faults' and method == 'PUT':
            try:
                self.state.faults = msgspec.json.decode(body, type=StoreFaults)
            except msgspec.MsgspecError as error:
                return Answer(
                    status='400 Bad Request', body=str(error).encode()
                )
        if path == '/control/copy' and method == 'PUT':
            self._copy = self.state.save_copy()
        if path == '/control/restore' and method == 'PUT':
            self.state.restore_copy(self._copy)
        if path == '/control/counts':
            totals = {kind: self.state.total(kind) for kind in CallKind}
            return Answer(body=msgspec.json.encode(totals))
        return Answer(body=msgspec.json.encode(self.state.faults))

    def _read(self, key: str, query: dict[str, list[str]]) -> Answer:
        index = int(query.get('index', ['0'])[0])
        if index:
            wait_ms = _parse_duration_ms(query.get('wait', [''])[0])
            stored = self.state.wait(key, index, wait_ms)
        else:
            stored = self.state.read(key)
        header_index = max(stored.index, 1)
        if not stored.exists:
            return Answer(status='404 Not Found', index=header_index)
        return Answer(body=_entry(key, stored), index=header_index)

    def _write(
        self, path: str, query: dict[str, list[str]], body: bytes
    ) -> Answer:
        if len(body) > MAX_VALUE_BYTES and path != _TRANSACTION_PATH:
            return Answer(status='413 Payload Too Large')
        faults = self.state.faults
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            return _LOST
        answer = self._change(path, query, body)
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            return _LOST
        return answer

    def _change(
        self, path: str, query: dict[str, list[str]], body: bytes
    ) -> Answer:
        if path == _TRANSACTION_PATH:
            return self._commit(body)
        if path.startswith(_SESSION_PREFIX):
            return self._change_session(path, body)
        key = unquote(path.removeprefix(_KEY_PREFIX))
        if 'acquire' in query:
            done = self.state.lock(key, body, query['acquire'][0])
        elif 'cas' in query:
            done = self.state.compare_and_set(key, body, int(query['cas'][0]))
        else:
            self.state.restore(key, body)
            done = True
        return Answer(body=msgspec.json.encode(done))

    def _commit(self, body: bytes) -> Answer:
        """Runs a transaction of the form that guarded writes have."""
        written, *rest = msgspec.json.decode(body, type=list[Operation])
        operations = {
            operation.key_operation.verb: operation.key_operation.key
            for operation in rest
        }
        target = written.key_operation
        if len(target.value) > MAX_VALUE_BYTES:
            return Answer(status='413 Payload Too Large')
        guard = WriteGuard(
            replaced=operations.get('check-index', ''),
            created=operations['set'],
        )
        if self.state.commit(target.key, target.value, target.index, guard):
            return Answer(body=b'{"Results": []}')
        return Answer(status='409 Conflict', body=b'{"Errors": []}')

    def _change_session(self, path: str, body: bytes) -> Answer:
        action, _, session = path.removeprefix(_SESSION_PREFIX).partition('/')
        if action == 'create':
            ttl_ms = _parse_duration_ms(msgspec.json.decode(body)['TTL'])
            created = {'ID': self.state.create_session(ttl_ms)}
            return Answer(body=msgspec.json.encode(created))
        if action == 'destroy':
            self.state.destroy_session(session)
        elif not self.state.renew_session(session):
            return Answer(status='404 Not Found')
        return Answer(body=b'true')


def _kind(method: str, path: str, query: dict[str, list[str]]) -> CallKind:
    if 'index' in query:
        return CallKind.WATCH
    if method == 'GET':
        return CallKind.READ
    if path.startswith(_SESSION_PREFIX) or 'acquire' in query:
        return CallKind.LEASE
    return CallKind.WRITE


def _entry(key: str, stored: StoredValue) -> bytes:
    entry = {
        'Key': key,
        'Value': stored.value,
        'ModifyIndex': stored.index,
        'LockIndex': stored.lock_index,
    }
    if stored.session is not None:
        entry['Session'] = stored.session
    return msgspec.json.encode([entry])


def _parse_duration_ms(duration: str) -> int:
    number = duration.rstrip('ms')
    unit = duration.removeprefix(number)
    if not number.isdecimal() or unit not in _UNITS:
        return _DEFAULT_WAIT_MS
    return int(number) * _UNITS[unit]


def main(listen: str = '127.0.0.1:8500', seed: int = 0) -> None:
    """Runs the stand-in until it is stopped."""
    address = Address.parse(listen).unwrap()
    server = StoreServer(listen=address, clock=SystemClock(), seed=seed)
    server.start()
    typer.echo(f'listening on {server.url}')
    server.run()


if __name__ == '__main__':
    typer.run(main)
