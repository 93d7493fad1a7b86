"""A small firm of real processes and clients of this process."""

from collections import Counter
from collections.abc import Callable
from pathlib import Path

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.settings import KeyFile
from demo.firm import Service
from standins.client import Client
from standins.ledger import Ledger
from standins.response import Response
from tests.processes.nodes import BOOKINGS, TARGETS, Nodes
from tests.processes.waiting import LIMIT_S, wait_until


class Firm(Nodes):
    """The processes with their clients and ledgers.

    Args:
        directory: Where settings, ledgers and logs go.
    """

    def __init__(self, *, directory: Path) -> None:
        super().__init__(directory=directory)
        self._clock = SystemClock()
        self._clients: list[Client] = []

    def close_clients(self) -> None:
        """Ends every client."""
        for client in self._clients:
            client.close()
        self._clients.clear()

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
        paths = self.directory.glob('ledger-*.jsonl')
        return sum((Ledger.read(path).starts() for path in paths), Counter())

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


def post(
    client: Client, identifier: str, ms: int = 20, **headers: str
) -> Response:
    """Starts a request that must run at most once."""
    pairs = [(name.replace('_', '-'), text) for name, text in headers.items()]
    path = f'/run?id={identifier}&ms={ms}'
    return client.request('POST', path, headers=pairs)


def finish(response: Response) -> Response:
    """Waits for the end of an answer."""
    assert response.ended.wait(LIMIT_S), 'the answer does not end'
    return response


def assert_serves(client: Client, identifier: str) -> None:
    """Checks that a connection is open and gets an answer."""
    assert not client.is_broken, client.end_reason
    response = finish(post(client, identifier))
    assert response.outcome == 'answered', (response.failure, response.body)
    assert bytes(response.body) == f'ran {identifier}'.encode()


def _number(agent: Address) -> int:
    return int(agent.host.rpartition('.')[2])
