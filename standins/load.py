"""A load generator whose clients check every answer."""

from gevent import monkey

monkey.patch_all()

import hashlib
import json
from collections import Counter
from pathlib import Path
from random import Random
from typing import Annotated

import gevent
import typer

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.settings import KeyFile
from standins.client import Client
from standins.load_trace import LoadTrace
from standins.picture import picture
from standins.response import Response

_KEY_PATH = '/.well-known/anvilthread/execution-key'
_PICTURE_BYTES = 1_000_000


class LoadGenerator:
    """Generates the streams and requests of the clients of one service.

    Args:
        service: Name of the service, the prefix of every request ID.
        address: Service address.
        random: Source of pauses.
        counts: Results, shared by the services of a process.
        outcomes: Outcome by request ID, shared in the same way.
        trace: Records events for a replay.
    """

    def __init__(
        self,
        *,
        service: str,
        address: Address,
        random: Random,
        counts: Counter[str],
        outcomes: dict[str, str],
        trace: LoadTrace,
    ) -> None:
        self._clock = SystemClock()
        self._service = service
        self._address = address
        self._random = random
        self._counts = counts
        self._outcomes = outcomes
        self._trace = trace
        self._request_number = 0
        self._running = True
        self.reasons: Counter[str] = Counter()

    def stop(self) -> None:
        """Stops every client after its current request."""
        self._running = False

    def hold_stream(self) -> None:
        """Keeps one stream open; opens another one if it breaks."""
        while self._running:
            self._run_stream()

    def send_requests(self) -> None:
        """Sends one request after the other on one connection."""
        while self._running:
            client = self._connect()
            while client is not None and self._is_open(client):
                self._send_next(client)
                gevent.sleep(self._random.uniform(0.1, 0.4))
            self._close(client)

    def _run_stream(self) -> None:
        client = self._connect()
        if client is None:
            return
        response = client.request(
            'GET',
            '/stream?ms=500',
            headers=[('accept', 'text/event-stream')],
            keep=False,
        )
        while self._is_open(client) and not response.ended.is_set():
            gevent.sleep(0.1)
        if response.ended.is_set() and client.end_reason is None:
            self._record_broken(f'stream ended, status {response.status}')
        self._close(client)

    def _is_open(self, client: Client) -> bool:
        return self._running and client.end_reason is None

    def _connect(self) -> Client | None:
        client = Client(clock=self._clock, service_address=self._address)
        self._counts['connections'] += 1
        if client.connect():
            self._trace.connection_opened(client, self._service)
            return client
        self._record_broken('no handshake')
        client.close()
        return None

    def _close(self, client: Client | None) -> None:
        if client is None:
            return
        client.close()
        self._trace.connection_closed(client, self._service)
        if client.is_broken:
            self._record_broken(client.end_reason or '')

    def _send_next(self, client: Client) -> None:
        choice = self._random.random()
        if choice < 0.1:
            self._fetch_picture(client)
            return
        self._request_number += 1
        identifier = f'{self._service}-{self._request_number}'
        headers = []
        if choice < 0.5:
            headers = self._execution_key_headers(client)
        self._trace.request_started(client, self._service, identifier)
        response = self._run(client, identifier, headers)
        if headers and response.outcome != 'answered':
            # A request may be retried with its key, whatever its first outcome.
            gevent.sleep(0.2)
            response = self._run(client, identifier, headers)
        self._record_outcome(identifier, response)

    def _run(
        self, client: Client, identifier: str, headers: list[tuple[str, str]]
    ) -> Response:
        return client.fetch(
            'POST', f'/run?id={identifier}', headers=headers, body=b'order'
        )

    def _execution_key_headers(self, client: Client) -> list[tuple[str, str]]:
        response = client.fetch('GET', _KEY_PATH)
        if response.status != 200:
            return []
        return [('idempotency-key', json.loads(response.body)['key'])]

    def _record_outcome(self, identifier: str, response: Response) -> None:
        self._counts['requests'] += 1
        outcome = response.outcome or 'unknown'
        if outcome == 'answered' and response.failure is not None:
            outcome = 'unknown'
        self._counts[outcome] += 1
        self._outcomes[identifier] = outcome
        content = None
        if outcome == 'answered':
            content = response.body.decode().removeprefix('ran ')
            self._counts['mixed_up'] += content != identifier
        self._trace.request_ended(self._service, identifier, outcome, content)

    def _fetch_picture(self, client: Client) -> None:
        seed = self._random.randrange(1000)
        response = client.fetch(
            'GET', f'/picture?bytes={_PICTURE_BYTES}&seed={seed}'
        )
        self._counts['requests'] += 1
        outcome = response.outcome or 'unknown'
        self._counts[outcome] += 1
        expected = hashlib.sha256()
        for block in picture(_PICTURE_BYTES, seed):
            expected.update(block)
        is_complete = response.failure is None
        if outcome == 'answered' and is_complete:
            if response.digest != expected.hexdigest():
                self._counts['mixed_up'] += 1

    def _record_broken(self, reason: str) -> None:
        self._counts['broken'] += 1
        self.reasons[reason] += 1


def main(
    service: Annotated[list[str], typer.Option(help='NAME=HOST:PORT')],
    streams: Annotated[int, typer.Option(help='Streams a service.')],
    clients: Annotated[int, typer.Option(help='Requesters a service.')],
    seconds: Annotated[float, typer.Option(help='Time of the load.')],
    out: Annotated[Path, typer.Option(help='JSON file of the results.')],
    keys: Annotated[Path, typer.Option(help='Key file of the cluster.')],
    seed: Annotated[int, typer.Option(help='Seed of the pauses.')] = 1,
) -> None:
    """Runs clients for a while and writes what they saw."""
    counts: Counter[str] = Counter()
    outcomes: dict[str, str] = {}
    trace = LoadTrace(keys=KeyFile(path=keys).load().unwrap())
    generators = []
    tasks: list[gevent.Greenlet] = []
    for index, text in enumerate(service):
        name, _, address = text.partition('=')
        generator = LoadGenerator(
            service=name,
            address=Address.parse(address).unwrap(),
            random=Random(seed + index),
            counts=counts,
            outcomes=outcomes,
            trace=trace,
        )
        generators.append(generator)
        tasks.extend(
            gevent.spawn(generator.hold_stream) for _ in range(streams)
        )
        tasks.extend(
            gevent.spawn(generator.send_requests) for _ in range(clients)
        )
    gevent.sleep(seconds)
    for generator in generators:
        generator.stop()
    gevent.joinall(tasks, timeout=30, raise_error=True)
    reasons: Counter[str] = Counter()
    for generator in generators:
        reasons.update(generator.reasons)
    out.write_text(
        json.dumps(
            {
                'counts': counts,
                'outcomes': outcomes,
                'reasons': reasons,
                'trace': trace.events,
            }
        )
    )


if __name__ == '__main__':
    typer.run(main)
