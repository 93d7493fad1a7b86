"""An HTTP/3 client that records its answers and how it was closed."""

import ssl
from collections.abc import Iterable

import gevent
from aioquic.h3.connection import H3_ALPN, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from gevent import socket
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.clock import Clock
from standins.response import Response

_PING_INTERVAL_MS = 400
_RESET_TOKEN_BYTES = 16


class Client:
    """One connection to a service.

    Args:
        clock: Source of time.
        service_address: Address of the service.
        ping: Whether to send PING frames, by which the client detects a killed
            target quickly.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        service_address: Address,
        ping: bool = True,
    ) -> None:
        self._clock = clock
        self._service_address = service_address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 21)
        self._socket.connect(service_address.endpoint)
        configuration = QuicConfiguration(
            alpn_protocols=H3_ALPN,
            is_client=True,
            server_name='anvilthread.test',
            verify_mode=ssl.CERT_NONE,
            max_data=4 << 20,
            max_stream_data=4 << 20,
            idle_timeout=60,
        )
        self.quic = QuicConnection(configuration=configuration)
        self._http: H3Connection | None = None
        self._responses: dict[int, Response] = {}
        self._wake = Event()
        self._ping = ping
        self._next_ping_ms = 0
        self.established = Event()
        self.ended_ms: int | None = None
        self.end_reason: str | None = None
        self._tasks: list[gevent.Greenlet] = []

    @property
    def is_broken(self) -> bool:
        """Whether the connection ended without being closed by the client."""
        return self.end_reason not in {None, 'closed by client'}

    def connect(self, timeout_ms: int = 10_000) -> bool:
        """Opens the connection; returns whether the handshake completed."""
        self.quic.connect(self._service_address.endpoint, self._now_s())
        self._http = H3Connection(self.quic)
        self._tasks = [
            gevent.spawn(self._run),
            gevent.spawn(self._receive),
        ]
        self._clock.wait(self.established, timeout_ms)
        return self.established.is_set() and self.end_reason is None

    def request(
        self,
        method: str,
        path: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        keep: bool = True,
    ) -> Response:
        """Sends a request; the response is filled as data arrives."""
        response = Response(keep=keep)
        if self.end_reason is not None or self._http is None:
            response.end('connection is closed')
            return response
        stream_id = self.quic.get_next_available_stream_id()
        self._responses[stream_id] = response
        pairs = [
            (':method', method),
            (':scheme', 'https'),
            (':authority', 'anvilthread.test'),
            (':path', path),
            *headers,
        ]
        self._http.send_headers(
            stream_id,
            [(name.encode(), content.encode()) for name, content in pairs],
            end_stream=not body,
        )
        if body:
            self._http.send_data(stream_id, body, end_stream=True)
        self._wake.set()
        return response

    def fetch(
        self,
        method: str,
        path: str,
        *,
        headers: Iterable[tuple[str, str]] = (),
        body: bytes = b'',
        timeout_ms: int = 10_000,
    ) -> Response:
        """Sends a request and waits for the whole answer."""
        response = self.request(method, path, headers=headers, body=body)
        if not self._clock.wait(response.ended, timeout_ms):
            response.end('timeout')
        return response

    def cancel(self, response: Response) -> None:
        """Cancels a request in progress."""
        for stream_id, known in list(self._responses.items()):
            if known is response:
                self.quic.stop_stream(stream_id, 0x10C)
                self.quic.reset_stream(stream_id, 0x10C)
                del self._responses[stream_id]
                response.end('cancelled')
        self._wake.set()

    def change_address(self) -> None:
        """Continues from another source address, as a roaming client does."""
        new_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        new_socket.connect(self._service_address.endpoint)
        self._socket = new_socket
        self._tasks[1].kill(block=False)
        self._tasks[1] = gevent.spawn(self._receive)
        self.quic.change_connection_id()
        self.quic.send_ping(uid=1)
        self._wake.set()

    def close(self) -> None:
        """Closes the connection."""
        if self.end_reason is None:
            self.quic.close()
            self._flush()
            self._end('closed by client')
        gevent.killall(self._tasks, block=False)
        self._socket.close()

    def _run(self) -> None:
        while self.end_reason is None:
            self._flush()
            self._wait()
            self._run_timers()
            self._handle_events()

    def _wait(self) -> None:
        timer = self.quic.get_timer()
        timeout_ms = 1000.0 if timer is None else (timer - self._now_s()) * 1000
        if self._ping:
            timeout_ms = min(timeout_ms, _PING_INTERVAL_MS)
        self._clock.wait(self._wake, max(timeout_ms, 1))
        self._wake.clear()

    def _run_timers(self) -> None:
        now_s = self._now_s()
        timer = self.quic.get_timer()
        if timer is not None and timer <= now_s:
            self.quic.handle_timer(now_s)
        now_ms = self._clock.now_ms()
        if self._ping and now_ms >= self._next_ping_ms:
            self._next_ping_ms = now_ms + _PING_INTERVAL_MS
            if self.established.is_set():
                self.quic.send_ping(uid=0)

    def _receive(self) -> None:
        source = self._socket
        while True:
            try:
                datagram = source.recv(65535)
            except OSError:
                return
            if self._is_stateless_reset(datagram):
                self._end('stateless reset')
                return
            self.quic.receive_datagram(
                datagram, self._service_address.endpoint, self._now_s()
            )
            self._wake.set()

    def _is_stateless_reset(self, datagram: bytes) -> bool:
        # aioquic ignores stateless resets, so the token comparison of RFC
        # 9000, 10.3.1 is done here.
        token = datagram[-_RESET_TOKEN_BYTES:]
        connection_ids = [self.quic._peer_cid, *self.quic._peer_cid_available]
        return any(
            entry.stateless_reset_token == token for entry in connection_ids
        )

    def _handle_events(self) -> None:
        event = self.quic.next_event()
        while event is not None:
            if isinstance(event, events.HandshakeCompleted):
                self.established.set()
            elif isinstance(event, events.StreamReset):
                self._finish(event.stream_id, 'stream reset')
            elif isinstance(event, events.ConnectionTerminated):
                self._end(event.reason_phrase or f'error {event.error_code}')
            if self._http is not None:
                for http_event in self._http.handle_event(event):
                    self._handle_http_event(http_event)
            event = self.quic.next_event()

    def _handle_http_event(self, event: H3Event) -> None:
        stream_id = getattr(event, 'stream_id', -1)
        response = self._responses.get(stream_id)
        if response is None:
            return
        if isinstance(event, HeadersReceived):
            response.head(event.headers)
        elif isinstance(event, DataReceived):
            response.feed(event.data)
        if getattr(event, 'stream_ended', False):
            self._finish(stream_id, None)

    def _finish(self, stream_id: int, failure: str | None) -> None:
        response = self._responses.pop(stream_id, None)
        if response is not None:
            response.end(failure)

    def _end(self, reason: str) -> None:
        if self.end_reason is not None:
            return
        self.end_reason = reason
        self.ended_ms = self._clock.now_ms()
        self.established.set()
        for stream_id in list(self._responses):
            self._finish(stream_id, reason)
        self._wake.set()

    def _flush(self) -> None:
        for datagram, _ in self.quic.datagrams_to_send(self._now_s()):
            try:
                self._socket.send(datagram)
            except OSError:
                # A refused datagram is lost; QUIC retransmits its content.
                continue

    def _now_s(self) -> float:
        return self._clock.now_ms() / 1000
