"""A small firm of real processes and clients of this process."""

import json
import os
import signal
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Final, TypeVar
from urllib.error import HTTPError
from urllib.request import urlopen

import gevent

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.settings import KeyFile
from demo.cluster import Cluster
from demo.firm import Firm as FirmPlan
from demo.firm import Service
from standins.client import Client
from standins.ledger import Ledger
from standins.response import Response

BOOKINGS: Final = Service(name='bookings', number=1, port=4431)
STATEMENTS: Final = Service(name='statements', number=2, port=4432)

BALANCERS: Final = (1, 2, 3)
TARGETS: Final = (1, 2, 3)
STATEMENTS_TARGET: Final = 4

BALANCER: Final = 1
AGENT: Final = 2

_LIMIT_S: Final = 15
_POLL_S: Final = 0.05

_PLAN: Final = FirmPlan(
    name='processes',
    network=31,
    # Balancers 1 and 3 are in the first site, balancer 2 in the second.
    sites=('north', 'south'),
    pools=(((BOOKINGS,), len(TARGETS)), ((STATEMENTS,), 1)),
    slots=2,
)

Found = TypeVar('Found')


class Firm:
    """Three balancers in two sites, four targets, and clients.

    Args:
        directory: Where settings, ledgers and logs go.
    """

    def __init__(self, *, directory: Path) -> None:
        self.directory = directory
        self.cluster = Cluster(firm=_PLAN, directory=directory)
        self._clock = SystemClock()
        self._clients: list[Client] = []

    def start(self) -> None:
        """Starts every process and waits until all can be used."""
        self.cluster.start()
        in_thread(self.cluster.wait_all_ready)
        self.wait_members()

    def close(self) -> None:
        """Ends every client and process."""
        try:
            self.close_clients()
        finally:
            self.cluster.processes.end_all()

    def close_clients(self) -> None:
        """Ends every client."""
        for client in self._clients:
            client.close()
        self._clients.clear()

    def send(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        os.kill(self.cluster.processes.pid(name), number)

    def restart_target(self, number: int) -> None:
        """Starts a target and its agent again after their loss."""
        services = (STATEMENTS,) if number == STATEMENTS_TARGET else (BOOKINGS,)
        # An incarnation counts seconds, so a quicker start would repeat it.
        in_thread(time.sleep, 1)
        self.cluster.add_target(number, services)
        in_thread(self.cluster.wait_ready, AGENT, number)
        self.wait_members()

    def wait_members(self) -> None:
        """Waits until every balancer places on every target."""
        for number in BALANCERS:
            wait_until(
                partial(self._knows_agents, number),
                f'balancer {number} knows every agent',
            )

    def status(self, kind: int, number: int) -> dict[str, object]:
        """What a node tells about itself."""
        text = self.call('status', self.request_address(kind, number))
        return json.loads(text)

    def targets(self, balancer: int) -> list[dict[str, object]]:
        """The targets that a balancer knows."""
        text = self.call(
            'target', 'list', self.request_address(BALANCER, balancer)
        )
        return json.loads(text)

    def call(self, *arguments: str) -> str:
        """Runs a command that asks a node, and returns its JSON."""
        return in_thread(
            self.cluster.processes.call,
            'anvilthread',
            *arguments,
            '--json',
            '--keys',
            str(self.cluster.keys),
        )

    def request_address(self, kind: int, number: int) -> str:
        """Address for operations of a node."""
        return f'{_PLAN.ip(kind, number)}:7947'

    def open_client(self, service: Service = BOOKINGS) -> Client:
        """Returns a connected client."""
        client = Client(
            clock=self._clock,
            service_address=self.cluster.service_address(service),
        )
        self._clients.append(client)
        assert client.connect(), client.end_reason
        return client

    def open_client_at(
        self,
        accepted: Callable[[int], bool],
        service: Service = BOOKINGS,
    ) -> Client:
        """Returns a client whose agent's number is accepted."""
        for _ in range(40):
            client = self.open_client(service)
            if accepted(self.agent_of(client)):
                return client
        raise AssertionError('no connection was placed on a wanted agent')

    def open_clients(self, each: int) -> dict[int, list[Client]]:
        """Returns clients of bookings, at least some for each agent."""
        found: dict[int, list[Client]] = {number: [] for number in TARGETS}
        for _ in range(60):
            if min(map(len, found.values())) >= each:
                return found
            client = self.open_client()
            found[self.agent_of(client)].append(client)
        raise AssertionError('an agent gets no connections')

    def agent_of(self, client: Client) -> int:
        """Number of the agent that holds a client's connection."""
        ring = KeyFile(path=self.cluster.keys).load().unwrap().connection_id
        codec = ConnectionIdCodec(keys=dict(ring.keys), active=ring.active)
        named = codec.decode(client.quic._peer_cid.cid)
        assert named is not None
        return _number(named.agent)

    def starts(self) -> Counter[str]:
        """Number of starts by identifier over all targets."""
        total: Counter[str] = Counter()
        for path in self.directory.glob('ledger-*.jsonl'):
            total += Ledger.read(path).starts()
        return total

    def runner(self, identifier: str) -> int | None:
        """Number of a target that has started a request."""
        for path in self.directory.glob('ledger-*.jsonl'):
            if identifier in Ledger.read(path).starts():
                return int(path.stem.removeprefix('ledger-'))
        return None

    def wait_started(self, *identifiers: str) -> None:
        """Waits until targets have started requests."""
        wanted = set(identifiers)
        wait_until(lambda: wanted <= set(self.starts()), f'starts of {wanted}')

    def wait_metric(
        self, kind: int, number: int, name: str, wanted: float
    ) -> None:
        """Waits until the sum of a metric of a node has a value."""
        wait_until(
            lambda: self.metric(kind, number, name) == wanted,
            f'{name} of {kind}.{number} is {wanted}',
        )

    def metric(self, kind: int, number: int, name: str) -> float:
        """Sum of a metric of a node over all labels."""
        return sum(
            float(line.rpartition(' ')[2])
            for line in self._get(kind, number, 'metrics').splitlines()
            if line.startswith((f'{name} ', f'{name}{{'))
        )

    def log(self, name: str) -> str:
        """What a process has logged so far."""
        return (self.directory / f'{name}.log').read_text()

    def is_ready(self, kind: int, number: int) -> bool:
        """Whether a node is ready for traffic."""
        try:
            self._get(kind, number, 'ready')
        except HTTPError:
            return False
        return True

    def _knows_agents(self, balancer: int) -> bool:
        states = [target['state'] for target in self.targets(balancer)]
        return states.count('alive') == len(TARGETS) + 1

    def _get(self, kind: int, number: int, path: str) -> str:
        url = f'http://{_PLAN.ip(kind, number)}:9100/{path}'

        def fetch() -> str:
            with urlopen(url, timeout=5) as answer:
                return answer.read().decode()

        return in_thread(fetch)


def post(
    client: Client, identifier: str, ms: int = 20, **headers: str
) -> Response:
    """Starts a request that must run at most once."""
    pairs = [(name.replace('_', '-'), text) for name, text in headers.items()]
    path = f'/run?id={identifier}&ms={ms}'
    return client.request('POST', path, headers=pairs)


def finish(response: Response) -> Response:
    """Waits for the end of an answer."""
    assert response.ended.wait(_LIMIT_S), 'the answer does not end'
    return response


def assert_serves(client: Client, identifier: str) -> None:
    """Checks that a connection is open and gets an answer."""
    assert not client.is_broken, client.end_reason
    response = finish(post(client, identifier))
    assert response.outcome == 'answered', (response.failure, response.body)
    assert bytes(response.body) == f'ran {identifier}'.encode()


def wait_until(condition: Callable[[], bool], text: str) -> None:
    """Waits for a condition while clients go on."""
    end_s = time.monotonic() + _LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, f'not reached: {text}'
        gevent.sleep(_POLL_S)


def in_thread(run: Callable[..., Found], *arguments: object) -> Found:
    """Runs what blocks in a thread, so that clients go on."""
    return gevent.get_hub().threadpool.apply(run, arguments)


def _number(agent: Address) -> int:
    return int(agent.host.rpartition('.')[2])
