"""HTTP exchanges with the store that block only the calling task."""

from typing import Final

import gevent
from gevent import monkey
from gevent.threadpool import ThreadPool
from result import Err, Ok, Result
from urllib3 import BaseHTTPResponse, PoolManager, Retry, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from anvilthread.store.call_counts import CallCounts
from anvilthread.store.call_kind import CallKind
from anvilthread.store.store_error import (
    StoreAnswerLost,
    StoreError,
    StoreRefused,
    StoreUnavailable,
)

#: Threads, and so calls at one time. Watches have their own threads, because
#: each holds one for as long as it waits.
_CALL_THREADS: Final = 4
_WATCH_THREADS: Final = 4
_MS_PER_SECOND: Final = 1000
_OK: Final = 200
_NOT_FOUND: Final = 404
_TOO_MANY: Final = 429
_FIRST_SERVER_ERROR: Final = 500
_READS: Final = frozenset((CallKind.READ, CallKind.WATCH))


class ConsulHttp:
    """Sends requests from threads and sorts the failures.

    Threads are used because the HTTP library blocks its thread, whether or
    not the embedding program has patched the socket module.

    Args:
        url: Root of the HTTP API, such as ``http://127.0.0.1:8500``.
        timeout_ms: Longest time to connect, and to wait for an answer.
    """

    def __init__(self, *, url: str, timeout_ms: int) -> None:
        self._url = url.rstrip('/')
        self._timeout_ms = timeout_ms
        threads = _CALL_THREADS + _WATCH_THREADS
        self._manager = PoolManager(maxsize=threads, block=False)
        self._calls = ThreadPool(_CALL_THREADS)
        self._watches = ThreadPool(_WATCH_THREADS)
        self._counts = CallCounts()

    @property
    def counts(self) -> CallCounts:
        """Requests sent so far."""
        return self._counts

    def read(
        self, path: str, kind: CallKind, wait_ms: int = 0
    ) -> Result[BaseHTTPResponse, StoreError]:
        """Sends a GET request.

        Args:
            path: Path and query.
            kind: Kind that the call counts as.
            wait_ms: Time that the store may take before it answers.

        Returns:
            An answer of status 200 or 404.
        """
        return self._send('GET', path, kind, b'', wait_ms)

    def write(
        self, path: str, kind: CallKind, body: bytes = b''
    ) -> Result[BaseHTTPResponse, StoreError]:
        """Sends a PUT request; the answer has status 200 or 404."""
        return self._send('PUT', path, kind, body, 0)

    def close(self) -> None:
        """Closes idle connections; calls in progress run into their limits."""
        self._manager.clear()
        gevent.spawn(self._calls.kill)
        gevent.spawn(self._watches.kill)

    def _send(
        self, method: str, path: str, kind: CallKind, body: bytes, wait_ms: int
    ) -> Result[BaseHTTPResponse, StoreError]:
        self._counts.count(kind)
        arguments = (method, path, body, self._timeout_ms + wait_ms)
        if monkey.is_module_patched('socket'):
            # Patched locks must not be shared between threads, and patched
            # sockets block no other task.
            answer = self._exchange(*arguments)
        else:
            pool = self._watches if kind is CallKind.WATCH else self._calls
            answer = pool.apply(self._exchange, arguments)
        if isinstance(answer, HTTPError):
            return Err(_failure(kind, answer))
        return _classify(answer, kind)

    def _exchange(
        self, method: str, path: str, body: bytes, read_ms: int
    ) -> BaseHTTPResponse | HTTPError:
        # A thread of gevent writes a traceback for each exception it raises.
        try:
            return self._manager.request(
                method,
                f'{self._url}{path}',
                body=body,
                timeout=Timeout(
                    connect=self._timeout_ms / _MS_PER_SECOND,
                    read=read_ms / _MS_PER_SECOND,
                ),
                # The caller decides on a repeat and knows what it would do.
                retries=Retry(total=False, redirect=False),
            )
        except HTTPError as error:
            return error


def _classify(
    response: BaseHTTPResponse, kind: CallKind
) -> Result[BaseHTTPResponse, StoreError]:
    if response.status in {_OK, _NOT_FOUND}:
        return Ok(response)
    text = f'status {response.status}: {response.data[:200]!r}'
    if response.status == _TOO_MANY:
        return Err(StoreUnavailable(reason=text))
    if response.status >= _FIRST_SERVER_ERROR:
        return Err(_ambiguous(kind, text))
    return Err(
        StoreRefused(
            reason=f'the store refused the request: {text}',
            remedy='check the URL, the key and the size of the value',
        )
    )


def _failure(kind: CallKind, error: HTTPError) -> StoreError:
    if isinstance(error, (NewConnectionError, ConnectTimeoutError)):
        return StoreUnavailable(reason=str(error))
    return _ambiguous(kind, str(error))


def _ambiguous(kind: CallKind, reason: str) -> StoreError:
    if kind in _READS:
        return StoreUnavailable(reason=reason)
    return StoreAnswerLost(reason=reason)
