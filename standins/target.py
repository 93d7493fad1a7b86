"""A small HTTP/1.1 target with faults on request.

Paths:

* ``POST /run?id=X[&ms=N][&fault=F]`` works for N ms and is recorded in the
  ledger. Faults: ``refuse`` (503 before the start), ``drop`` (closes before
  the start without an answer), ``lost`` (runs, then closes), ``cut`` (runs,
  then closes in the middle of the answer), ``bare`` (answers without a
  length and closes), ``error`` (runs, then answers 503), ``deaf`` (ignores
  cancellation).
* ``GET /picture?bytes=N&seed=S`` sends content that can be verified.
* ``GET /stream[?ms=N][&count=N]`` sends server-sent events, without end if
  no count is given.
* ``GET /echo`` returns the request as JSON.
* ``GET /load`` returns the load figures as JSON.
* ``POST /drain`` makes the target refuse every later run.
"""

import json
import select
import socket
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Annotated, Any, Final
from urllib.parse import parse_qsl, urlsplit

import gevent
import typer
from gevent.server import StreamServer
from gevent.socket import wait_read

from anvilthread.address import Address
from anvilthread.clock import Clock, SystemClock
from standins.ledger import Ledger, LedgerEntry
from standins.picture import picture

_MS_PER_SECOND: Final = 1000


class TargetBehaviour:
    """How a target stand-in behaves.

    Args:
        slots: Concurrent runs; further ones are refused before the start.
        run_ms: Duration of a run whose request specifies none.
        cold_ms: Time after the start during which runs take longer.
        cold_factor: Factor by which they take longer.
    """

    def __init__(
        self,
        *,
        slots: int = 2,
        run_ms: int = 20,
        cold_ms: int = 0,
        cold_factor: float = 3,
    ) -> None:
        self.slots = slots
        self.run_ms = run_ms
        self.cold_ms = cold_ms
        self.cold_factor = cold_factor


class Target:
    """A target that listens on an address.

    Args:
        listen: Address; port 0 selects a free port.
        behaviour: Slots and times.
        ledger: Record of the runs.
        clock: Clock of the ledger and of the runs.
    """

    def __init__(
        self,
        *,
        listen: Address,
        behaviour: TargetBehaviour | None = None,
        ledger: Ledger | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.behaviour = behaviour or TargetBehaviour()
        self.ledger = ledger or Ledger()
        self.clock = clock or SystemClock()
        self.busy = 0
        self.max_busy = 0
        self.connections = 0
        self.draining = False
        self._started_ms = self.clock.now_ms()
        self._server = StreamServer(listen.endpoint, self._serve)
        self._tasks: set[gevent.Greenlet] = set()

    @property
    def address(self) -> Address:
        """Address at which the target listens."""
        host, port = self._server.address
        return Address(host=host, port=port)

    def start(self) -> None:
        """Starts to listen."""
        self._server.start()

    def kill(self) -> None:
        """Stops listening and breaks every connection at once."""
        self._server.stop(timeout=0)
        gevent.killall(list(self._tasks))

    def serve_forever(self) -> None:
        """Listens until the process ends."""
        self._server.serve_forever()

    def run_ms(self, requested: str | None) -> float:
        """Duration of a run, longer while the target is cold."""
        run_ms = float(requested or self.behaviour.run_ms)
        age_ms = self.clock.now_ms() - self._started_ms
        if age_ms < self.behaviour.cold_ms:
            return run_ms * self.behaviour.cold_factor
        return run_ms

    def acquire_slot(self) -> bool:
        """Acquires a slot unless the target is full or draining."""
        if self.draining or self.busy >= self.behaviour.slots:
            return False
        self.busy += 1
        self.max_busy = max(self.max_busy, self.busy)
        return True

    def release_slot(self) -> None:
        """Releases a slot."""
        self.busy -= 1

    def _serve(self, connection: socket.socket, peer: Any) -> None:
        self.connections += 1
        task = gevent.getcurrent()
        server: Any = self
        self._tasks.add(task)
        try:
            _Handler(connection, peer, server)
        except OSError:
            pass
        finally:
            self._tasks.discard(task)
            connection.close()


class _Handler(BaseHTTPRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = 'HTTP/1.1'
    server: Any

    def do_GET(self) -> None:
        """Dispatches GET requests."""
        self._dispatch(
            {
                '/echo': self._echo,
                '/picture': self._picture,
                '/stream': self._stream,
                '/load': self._load,
                '/run': self._run,
            }
        )

    def do_POST(self) -> None:
        """Dispatches POST requests."""
        self._dispatch(
            {'/run': self._run, '/drain': self._drain, '/echo': self._echo}
        )

    def log_message(self, format: str, *args: Any) -> None:
        """Logs nothing; the ledger is the record."""

    @property
    def target(self) -> Target:
        """The target that this connection belongs to."""
        return self.server

    def _dispatch(self, routes: dict[str, Callable[[], None]]) -> None:
        parts = urlsplit(self.path)
        self.query = dict(parse_qsl(parts.query))
        self.content = self._read_body()
        route = routes.get(parts.path)
        if route is None:
            self._answer(404, b'')
        else:
            route()

    def _read_body(self) -> bytes:
        if self.headers.get('transfer-encoding') != 'chunked':
            return self.rfile.read(int(self.headers.get('content-length', 0)))
        content = bytearray()
        while size := int(self.rfile.readline(), 16):
            content += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return bytes(content)

    def _echo(self) -> None:
        self._answer_json(
            {
                'method': self.command,
                'path': self.path,
                'headers': [list(pair) for pair in self.headers.items()],
                'body': self.content.decode('latin-1'),
            }
        )

    def _load(self) -> None:
        target = self.target
        self._answer_json(
            {
                'busy': target.busy,
                'slots': target.behaviour.slots,
                'draining': target.draining,
            }
        )

    def _drain(self) -> None:
        self.target.draining = True
        self._answer_json({'draining': True})

    def _picture(self) -> None:
        size = int(self.query['bytes'])
        self._head(200, ('Content-Length', str(size)))
        for block in picture(size, int(self.query.get('seed', '0'))):
            self.wfile.write(block)

    def _stream(self) -> None:
        self.close_connection = True
        self._head(
            200,
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        )
        count = int(self.query.get('count', '0'))
        number = 0
        while not count or number < count:
            event = b'data: %d\n\n' % number
            self.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
            number += 1
            if self._wait_for_cancellation(float(self.query.get('ms', '100'))):
                return
        self.wfile.write(b'0\r\n\r\n')

    def _run(self) -> None:
        fault = self.query.get('fault', '')
        if fault == 'drop':
            self.close_connection = True
            return
        if fault == 'refuse' or not self.target.acquire_slot():
            self._answer(503, b'', ('Anvilthread-Not-Started', '1'))
            return
        identifier = self.query['id']
        entry = self.target.ledger.start(identifier, self.target.clock.now_ms())
        try:
            outcome = self._work(fault)
        except BaseException:
            self._record_end(entry, 'killed')
            raise
        self._record_end(entry, outcome)
        if outcome == 'done':
            self._answer_run(identifier, fault)
        else:
            self.close_connection = True

    def _record_end(self, entry: LedgerEntry, outcome: str) -> None:
        self.target.release_slot()
        now_ms = self.target.clock.now_ms()
        self.target.ledger.finish(entry, now_ms, outcome)

    def _work(self, fault: str) -> str:
        run_ms = self.target.run_ms(self.query.get('ms'))
        if fault == 'deaf':
            self.target.clock.sleep_ms(run_ms)
            return 'done'
        deadline = self.headers.get('anvilthread-deadline-ms')
        allowed_ms = min(run_ms, float(deadline)) if deadline else run_ms
        if self._wait_for_cancellation(allowed_ms):
            return 'cancelled'
        return 'done' if allowed_ms >= run_ms else 'deadline'

    def _wait_for_cancellation(self, wait_ms: float) -> bool:
        """Waits; returns True early if the peer closes its side."""
        try:
            wait_read(
                self.connection.fileno(), timeout=wait_ms / _MS_PER_SECOND
            )
        except TimeoutError:
            return False
        readable, _, _ = select.select([self.connection.fileno()], [], [], 0)
        return bool(readable) and not self.connection.recv(1, socket.MSG_PEEK)

    def _answer_run(self, identifier: str, fault: str) -> None:
        content = f'ran {identifier}'.encode()
        if fault == 'lost':
            self.close_connection = True
        elif fault == 'cut':
            self.close_connection = True
            self._head(200, ('Content-Length', str(len(content))))
            self.wfile.write(content[: len(content) // 2])
        elif fault == 'bare':
            self.close_connection = True
            self._head(200)
            self.wfile.write(content)
        else:
            self._answer(503 if fault == 'error' else 200, content)

    def _answer_json(self, fields: dict[str, Any]) -> None:
        content = json.dumps(fields).encode()
        self._answer(200, content, ('Content-Type', 'application/json'))

    def _answer(
        self, status: int, content: bytes, *headers: tuple[str, str]
    ) -> None:
        self._head(status, ('Content-Length', str(len(content))), *headers)
        self.wfile.write(content)

    def _head(self, status: int, *headers: tuple[str, str]) -> None:
        self.send_response(status)
        for name, text in headers:
            self.send_header(name, text)
        self.end_headers()


def main(
    listen: Annotated[str, typer.Option(help='HOST:PORT')],
    slots: Annotated[int, typer.Option(help='runs at once')] = 2,
    ledger: Annotated[Path | None, typer.Option(help='JSON lines')] = None,
    run_ms: Annotated[int, typer.Option(help='time of a run')] = 20,
    cold_ms: Annotated[int, typer.Option(help='time of the cold start')] = 0,
) -> None:
    """Runs a target until the process ends."""
    target = Target(
        listen=Address.parse(listen).unwrap(),
        behaviour=TargetBehaviour(slots=slots, run_ms=run_ms, cold_ms=cold_ms),
        ledger=Ledger(path=ledger),
    )
    target.start()
    typer.echo(str(target.address))
    target.serve_forever()


if __name__ == '__main__':
    typer.run(main)
