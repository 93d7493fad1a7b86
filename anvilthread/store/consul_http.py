"""HTTP requests to the store that block only the calling task."""

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

#: Sizes of the thread pools, and so the numbers of concurrent calls. Watches
#: have their own pool, because each occupies a thread for as long as it waits.
_CALL_THREADS: Final = 4
_WATCH_THREADS: Final = 4
_MS_PER_SECOND: Final = 1000
_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_TOO_MANY_REQUESTS: Final = 429
_FIRST_SERVER_ERROR: Final = 500
_READS: Final = frozenset((CallKind.READ, CallKind.WATCH))


class ConsulHttp:
    """Sends requests from threads and classifies the failures.

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
        """Sends a PUT request; the answer has status 200, 404 or 409."""
        return self._send('PUT', path, kind, body, 0)

    def close(self) -> None:
        """Closes idle connections; calls in progress end or time out."""
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
            answer = self._request(*arguments)
        else:
            pool = self._watches if kind is CallKind.WATCH else self._calls
            answer = pool.apply(self._request, arguments)
        if isinstance(answer, HTTPError):
            return Err(_classify_failure(kind, answer))
        return _classify_response(answer, kind)

    def _request(
        self, method: str, path: str, body: bytes, read_ms: int
    ) -> BaseHTTPResponse | HTTPError:
        # gevent's thread pool prints a traceback for each exception that a
        # call raises, so errors are returned.
        try:
            return self._manager.request(
                method,
                f'{self._url}{path}',
                body=body,
                timeout=Timeout(
                    connect=self._timeout_ms / _MS_PER_SECOND,
                    read=read_ms / _MS_PER_SECOND,
                ),
                # Retries are left to the caller, which knows whether a repeat
                # is safe.
                retries=Retry(total=False, redirect=False),
            )
        except HTTPError as error:
            return error


def _classify_response(
    response: BaseHTTPResponse, kind: CallKind
) -> Result[BaseHTTPResponse, StoreError]:
    if response.status in {_OK, _NOT_FOUND, _CONFLICT}:
        return Ok(response)
    status_text = f'status {response.status}: {response.data[:200]!r}'
    if response.status == _TOO_MANY_REQUESTS:
        return Err(StoreUnavailable(reason=status_text))
    if response.status >= _FIRST_SERVER_ERROR:
        return Err(_ambiguous(kind, status_text))
    return Err(
        StoreRefused(
            reason=f'the store refused the request: {status_text}',
            remedy='check the URL, the key and the size of the value',
        )
    )


def _classify_failure(kind: CallKind, error: HTTPError) -> StoreError:
    if isinstance(error, (NewConnectionError, ConnectTimeoutError)):
        return StoreUnavailable(reason=str(error))
    return _ambiguous(kind, str(error))


def _ambiguous(kind: CallKind, reason: str) -> StoreError:
    if kind in _READS:
        return StoreUnavailable(reason=reason)
    return StoreAnswerLost(reason=reason)
