"""A target of the platform: flows over UDP, heartbeats over HTTP."""

import re
import struct
import time
from http.client import HTTPConnection
from random import Random
from typing import Final, Protocol

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from standins.platform_packet import (
    ACK,
    BOUNCED,
    FIN,
    RESET,
    SYN,
    PlatformPacket,
    read_packet,
)

_REQUEST_ID: Final = re.compile(rb'X-Request-Id: ([^\r]+)')
_RETRANSMIT_INTERVAL_S: Final = 0.2
_RETRANSMISSIONS: Final = 6
_HEARTBEAT_INTERVAL_S: Final = 0.3
_HEARTBEAT_TIMEOUT_S: Final = 1.0


class TargetObserver(Protocol):
    """Receives the events of targets."""

    def on_run(self, request: str, service: str, target: str) -> None:
        """A target has started to run a request."""

    def on_opening(self, target: 'PlatformTarget') -> None:
        """A target has received an opening packet."""

    def on_altered_packet(self, target: str) -> None:
        """A target has received a packet that was altered on the way."""


class _Flow:
    def __init__(self, start: int, expected_sequence: int) -> None:
        self.next_sequence = start + 1
        self.expected_sequence = expected_sequence
        self.is_open = False
        self.answer: PlatformPacket | None = None


class PlatformTarget:
    """One process of a target.

    Args:
        name: Identity of the process.
        service: Service that it runs.
        host: Address of its VM.
        ports: Ports ``app``, ``outbound`` and ``control`` of every VM.
        observer: Receives the events of the target.
        random: Source of sequence numbers, run times and answer sizes.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        host: str,
        ports: dict[str, int],
        observer: TargetObserver,
        random: Random,
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        #: Monotonic time in s at which its drain was acknowledged, if ever.
        self.drained_s: float | None = None
        self.flows: dict[tuple[str, int], _Flow] = {}
        #: Whether requests fail while heartbeats continue.
        self.fails = False
        #: Whether packets are dropped in both directions; flows are kept.
        self.is_silent = False
        #: Cleared while the target is paused.
        self._running = Event()
        self._running.set()
        self._ports = ports
        self._observer = observer
        self._random = random
        self._born_ms = int(time.time() * 1000)
        self._heartbeat_sequence = 0
        self._is_draining = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, ports['app']))
        # Health checks come over TCP; nobody sends one here.
        self._health_server = StreamServer(
            (host, ports['app']), lambda connection, _: connection.close()
        )
        self._health_server.start()
        self._tasks = [
            gevent.spawn(self._receive),
            gevent.spawn(self._send_heartbeats),
        ]

    def holds(self, client: tuple[str, int]) -> bool:
        """Whether the target holds an open flow of a client's endpoint."""
        flow = self.flows.get(client)
        return flow is not None and flow.is_open

    def pause(self) -> None:
        """Stops all work, as SIGSTOP does; packets wait in its socket.

        Its flows are kept, and the operating system accepts connections.
        """
        self._running.clear()

    def resume(self) -> None:
        """Ends a pause."""
        self._running.set()

    def drain(self) -> None:
        """Announces that the target is about to stop."""
        self._is_draining = True
        gevent.spawn(self._send_heartbeat)

    def stop(self) -> None:
        """Stops at once and loses every flow."""
        gevent.killall(self._tasks)
        self._socket.close()
        self._health_server.stop()
        self.flows.clear()

    def _receive(self) -> None:
        while True:
            self._running.wait()
            content, _ = self._socket.recvfrom(2048)
            self._running.wait()
            try:
                packet, is_intact = read_packet(content)
            except struct.error:
                is_intact = False
            if not is_intact:
                self._observer.on_altered_packet(self.name)
            elif not self.is_silent:
                self._handle(packet, content)

    def _handle(self, packet: PlatformPacket, content: bytes) -> None:
        flow = self.flows.get(packet.source)
        if packet.flags & SYN:
            self._open(packet)
        elif flow is None or not self._confirm_open(flow, packet):
            bounced = bytes((content[0] | BOUNCED,)) + content[1:]
            self._send(bounced)
        elif packet.flags & (FIN | RESET):
            self.flows.pop(packet.source)
            self._reply(packet, FIN | ACK, flow.next_sequence)
        else:
            self._handle_data(packet, flow)

    def _confirm_open(self, flow: _Flow, packet: PlatformPacket) -> bool:
        if not flow.is_open:
            flow.is_open = packet.acknowledged == flow.next_sequence
        return flow.is_open

    def _open(self, packet: PlatformPacket) -> None:
        self._observer.on_opening(self)
        flow = self.flows.get(packet.source)
        if flow is None:
            start = self._random.getrandbits(30)
            flow = _Flow(start, packet.sequence + 1)
            self.flows[packet.source] = flow
        self._reply(packet, SYN | ACK, flow.next_sequence - 1)

    def _handle_data(self, packet: PlatformPacket, flow: _Flow) -> None:
        answer = flow.answer
        if answer is not None:
            end = answer.sequence + len(answer.body)
            if packet.acknowledged >= end:
                flow.answer = None
            elif packet.body:
                self._send(answer.encode())
        if not packet.body or packet.sequence != flow.expected_sequence:
            return
        flow.expected_sequence += len(packet.body)
        gevent.spawn(self._run_request, packet, flow)

    def _run_request(self, packet: PlatformPacket, flow: _Flow) -> None:
        match = _REQUEST_ID.search(packet.body)
        request = match.group(1).decode() if match else ''
        self._observer.on_run(request, self.service, self.name)
        gevent.sleep(self._random.uniform(0.005, 0.04))
        self._running.wait()
        text = f'{self.service}:{request}:{"x" * self._random.randint(0, 800)}'
        status = '500 Internal Server Error' if self.fails else '200 OK'
        head = f'HTTP/1.1 {status}\r\nContent-Length: {len(text)}\r\n\r\n'
        body = f'{head}{text}'.encode()
        answer = PlatformPacket(
            source=packet.destination,
            destination=packet.source,
            flags=ACK,
            sequence=flow.next_sequence,
            acknowledged=flow.expected_sequence,
            body=body,
        )
        flow.next_sequence += len(body)
        flow.answer = answer
        for _ in range(_RETRANSMISSIONS):
            if flow.answer is not answer:
                return
            self._send(answer.encode())
            gevent.sleep(_RETRANSMIT_INTERVAL_S)
            self._running.wait()

    def _reply(self, packet: PlatformPacket, flags: int, sequence: int) -> None:
        reply = PlatformPacket(
            source=packet.destination,
            destination=packet.source,
            flags=flags,
            sequence=sequence,
            acknowledged=packet.sequence + 1,
        )
        self._send(reply.encode())

    def _send(self, content: bytes) -> None:
        if self._socket.fileno() >= 0 and not self.is_silent:
            outbound = (self.host, self._ports['outbound'])
            self._socket.sendto(content, outbound)

    def _send_heartbeats(self) -> None:
        while True:
            self._send_heartbeat()
            gevent.sleep(_HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self) -> None:
        self._running.wait()
        self._heartbeat_sequence += 1
        state = 'draining' if self._is_draining else 'ready'
        body = {
            'service': self.service,
            'address': f'{self.host}:{self._ports["app"]}',
            'zone': 'site-a',
            'version': 'v1',
            'capacity': 4,
            'state': state,
            'warmup_remaining_ms': 0,
            'sequence': self._heartbeat_sequence,
            'born': self._born_ms,
        }
        status = put_json(
            self.host, self._ports['control'], f'/instances/{self.name}', body
        )
        if status == 200 and state == 'draining' and self.drained_s is None:
            self.drained_s = time.monotonic()


class _Connection(HTTPConnection):
    def connect(self) -> None:
        self.sock = socket.create_connection(
            (self.host, self.port), self.timeout
        )


def put_json(host: str, port: int, path: str, body: object) -> int:
    """Sends a JSON body; returns the status, 0 if there was no answer."""
    connection = _Connection(host, port, timeout=_HEARTBEAT_TIMEOUT_S)
    try:
        connection.request('PUT', path, msgspec.json.encode(body))
        return connection.getresponse().status
    except (OSError, ValueError):
        return 0
    finally:
        connection.close()


def get_status(host: str, port: int, path: str) -> int:
    """Sends a GET; returns the status, 0 if there was no answer."""
    connection = _Connection(host, port, timeout=0.4)
    try:
        connection.request('GET', path)
        return connection.getresponse().status
    except (OSError, ValueError):
        return 0
    finally:
        connection.close()
