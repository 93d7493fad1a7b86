"""One client's QUIC connection."""

from collections import deque
from collections.abc import Callable
from typing import Final

import gevent
from aioquic.h3.connection import H3_ALPN, ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic import events
from gevent.event import Event

from anvilthread.address import Address
from anvilthread.agent.answer_path import AnswerPath
from anvilthread.agent.close_reason import close_reason
from anvilthread.agent.h3_stream import H3Stream
from anvilthread.agent.routable_quic import RoutableQuic
from anvilthread.agent.stream_handler import StreamHandler
from anvilthread.clock import Clock
from anvilthread.reports.connection_events import CloseReason
from anvilthread.routing.encapsulated import Encapsulated

#: Packets queued for a connection task that lags behind; more are dropped, as
#: by a full socket buffer.
_MAX_QUEUED_PACKETS: Final = 1024

#: A handshake that takes longer belongs to a client that continues the
#: connection with another agent.
_HANDSHAKE_TIMEOUT_MS: Final = 10_000

#: Interval of PING frames on connections with open streams. They keep NAT
#: bindings and the idle timeout from ending a stream without traffic.
_KEEPALIVE_MS: Final = 15_000

_MS_PER_SECOND: Final = 1000


class ClientConnection:
    """Serves one connection in one task.

    Args:
        clock: Clock of the timers.
        quic: The QUIC connection.
        first_packet: First packet of the client.
        answer_path: Chooses the balancer for answers.
        handler: Answers requests.
        send: Sends a QUIC datagram to the client through a balancer.
        on_retired: Called with every connection ID that is no longer in use.
    """

    __slots__ = (
        '_answer_path',
        '_client',
        '_clock',
        '_handler',
        '_http',
        '_inbox',
        '_is_closing',
        '_is_established',
        '_next_keepalive_ms',
        '_on_retired',
        '_opened_ms',
        '_quic',
        '_send',
        '_service',
        '_service_address',
        '_streams',
        '_termination',
        '_wake',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        quic: RoutableQuic,
        first_packet: Encapsulated,
        answer_path: AnswerPath,
        handler: StreamHandler,
        send: Callable[['ClientConnection', bytes, Address], None],
        on_retired: Callable[[bytes], None],
    ) -> None:
        self._clock = clock
        self._quic = quic
        self._service = first_packet.service
        self._service_address = first_packet.service_address
        self._client = first_packet.client
        self._answer_path = answer_path
        self._handler = handler
        self._send = send
        self._on_retired = on_retired
        self._http: H3Connection | None = None
        self._inbox: deque[Encapsulated] = deque()
        self._streams: dict[int, H3Stream] = {}
        self._wake = Event()
        self._is_established = False
        self._termination: CloseReason | None = None
        self._is_closing = False
        self._opened_ms = clock.now_ms()
        self._next_keepalive_ms = self._opened_ms + _KEEPALIVE_MS

    @property
    def service(self) -> int:
        """Number of the service that the client connected to."""
        return self._service

    @property
    def service_address(self) -> Address:
        """Address of the service that the client connected to."""
        return self._service_address

    @property
    def client(self) -> Address:
        """Address of the client at its latest packet."""
        return self._client

    @property
    def is_established(self) -> bool:
        """Whether the handshake is complete."""
        return self._is_established

    @property
    def opened_ms(self) -> int:
        """Monotonic time of the first packet."""
        return self._opened_ms

    @property
    def open_streams(self) -> int:
        """Number of requests in progress."""
        return len(self._streams)

    @property
    def termination(self) -> CloseReason | None:
        """Why the connection ended; None while it is open."""
        return self._termination

    def deliver(self, datagram: Encapsulated) -> None:
        """Queues a packet of the client; drops it if the queue is full."""
        if len(self._inbox) < _MAX_QUEUED_PACKETS:
            self._inbox.append(datagram)
            self._wake.set()

    def close(self, reason: str) -> None:
        """Closes the connection with a CONNECTION_CLOSE frame."""
        self._is_closing = True
        self._quic.close(error_code=ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self._wake.set()

    def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            while self._termination is None:
                self._wait_for_work()
                self._receive()
                self._run_timers()
                self._handle_events()
                self._flush()
        finally:
            self._end_streams()

    def _wait_for_work(self) -> None:
        timer = self._quic.get_timer()
        if timer is None:
            timeout_ms = float(_KEEPALIVE_MS)
        else:
            timeout_ms = timer * _MS_PER_SECOND - self._clock.now_ms()
        # The clock has a resolution of 1 ms; a shorter wait would end before
        # the timer is due and repeat at once.
        self._clock.wait(self._wake, max(timeout_ms, 1))
        self._wake.clear()

    def _receive(self) -> None:
        while self._inbox:
            datagram = self._inbox.popleft()
            self._client = datagram.client
            self._answer_path.record_packet(datagram.balancer)
            self._quic.receive_datagram(
                datagram.payload, datagram.client.endpoint, self._now_s()
            )

    def _run_timers(self) -> None:
        timer = self._quic.get_timer()
        if timer is not None and timer <= self._now_s():
            self._quic.handle_timer(self._now_s())
        now_ms = self._clock.now_ms()
        handshake_ms = now_ms - self._opened_ms
        if not self._is_established and handshake_ms > _HANDSHAKE_TIMEOUT_MS:
            self._termination = CloseReason.SUPERSEDED
        if self._streams and now_ms >= self._next_keepalive_ms:
            self._next_keepalive_ms = now_ms + _KEEPALIVE_MS
            self._quic.send_ping(uid=0)

    def _handle_events(self) -> None:
        event = self._quic.next_event()
        while event is not None:
            self._handle_quic_event(event)
            if self._http is not None:
                for http_event in self._http.handle_event(event):
                    self._handle_http_event(http_event)
            event = self._quic.next_event()
        for stream in self._streams.values():
            stream.resume_writing()

    def _handle_quic_event(self, event: events.QuicEvent) -> None:
        match event:
            case events.ProtocolNegotiated(alpn_protocol=protocol):
                if protocol in H3_ALPN:
                    self._http = H3Connection(self._quic)
            case events.HandshakeCompleted():
                self._is_established = True
            case events.ConnectionIdRetired(connection_id=connection_id):
                self._on_retired(connection_id)
            case events.StreamReset(stream_id=stream_id):
                self._cancel_stream(stream_id)
            case events.StopSendingReceived(stream_id=stream_id):
                self._cancel_stream(stream_id)
            case events.ConnectionTerminated():
                self._termination = close_reason(
                    event, is_closing=self._is_closing
                )

    def _handle_http_event(self, event: H3Event) -> None:
        if isinstance(event, HeadersReceived):
            self._open_stream(event)
        elif isinstance(event, DataReceived):
            stream = self._streams.get(event.stream_id)
            if stream is not None:
                stream.body.feed(event.data)
        if getattr(event, 'stream_ended', False):
            self._end_body(event)

    def _open_stream(self, event: HeadersReceived) -> None:
        # A second block of headers on a stream holds trailers, which are
        # ignored.
        if event.stream_id in self._streams or self._http is None:
            return
        stream = H3Stream(
            stream_id=event.stream_id,
            headers=event.headers,
            quic=self._quic,
            http=self._http,
            wake=self._wake.set,
        )
        self._streams[event.stream_id] = stream
        gevent.spawn(self._serve_stream, stream)

    def _serve_stream(self, stream: H3Stream) -> None:
        try:
            self._handler.handle(stream, self._service)
        except Exception:
            # The client must not wait for an answer that never comes.
            stream.reset()
            raise
        finally:
            self._streams.pop(stream.stream_id, None)
            self._wake.set()

    def _end_body(self, event: H3Event) -> None:
        stream = self._streams.get(getattr(event, 'stream_id', -1))
        if stream is not None:
            stream.body.end()

    def _cancel_stream(self, stream_id: int) -> None:
        stream = self._streams.get(stream_id)
        if stream is not None:
            stream.cancel()

    def _end_streams(self) -> None:
        for stream in list(self._streams.values()):
            stream.cancel()

    def _flush(self) -> None:
        for datagram, _ in self._quic.datagrams_to_send(self._now_s()):
            self._send(self, datagram, self._answer_path.choose())

    def _now_s(self) -> float:
        return self._clock.now_ms() / _MS_PER_SECOND
