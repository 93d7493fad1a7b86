"""A small cluster of real processes, with clients in this process."""

from collections import Counter
from collections.abc import Callable
from pathlib import Path

from anvilthread.address import Address
from anvilthread.clock import SystemClock
from anvilthread.routing.connection_id_codec import ConnectionIdCodec
from anvilthread.settings import KeyFile
from demo.cluster_plan import Service
from standins.client import Client
from standins.ledger import Ledger
from standins.response import Response
from tests.processes.nodes import BOOKINGS, TARGETS, Nodes
from tests.processes.waiting import TIMEOUT_S, wait_until


class ClusterHarness(Nodes):
    """The processes of a cluster with their clients and ledgers.

    Args:
        directory: Where settings, ledgers and logs go.
    """

    def __init__(self, *, directory: Path) -> None:
        super().__init__(directory=directory)
        self._clock = SystemClock()
        self._clients: list[Client] = []

    def close_clients(self) -> None:
        """Closes every client."""
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
        is_accepted: Callable[[int], bool],
        service: Service = BOOKINGS,
    ) -> Client:
        """Returns a client whose agent has an accepted number."""
        for _ in range(40):
            client = self.open_client(service)
            if is_accepted(self.agent_of(client)):
                return client
        raise AssertionError('no connection was placed on an accepted agent')

    def open_clients(self, min_per_agent: int) -> dict[int, list[Client]]:
        """Returns clients of bookings, by number of their agent.

        Args:
            min_per_agent: Number of clients that each agent has at least.
        """
        clients_by_agent: dict[int, list[Client]] = {
            number: [] for number in TARGETS
        }
        for _ in range(60):
            if min(map(len, clients_by_agent.values())) >= min_per_agent:
                return clients_by_agent
            client = self.open_client()
            clients_by_agent[self.agent_of(client)].append(client)
        raise AssertionError('an agent gets too few connections')

    def agent_of(self, client: Client) -> int:
        """Number of the agent that holds a client's connection."""
        ring = KeyFile(path=self.cluster.keys).load().unwrap().connection_id
        codec = ConnectionIdCodec(keys=dict(ring.keys), active=ring.active)
        decoded_id = codec.decode(client.quic._peer_cid.cid)
        assert decoded_id is not None
        return _host_number(decoded_id.agent)

    def starts(self) -> Counter[str]:
        """Number of starts by request identifier over all targets."""
        paths = self.directory.glob('ledger-*.jsonl')
        return sum((Ledger.read(path).starts() for path in paths), Counter())

    def target_of(self, identifier: str) -> int | None:
        """Number of a target that has started a request, if any."""
        for path in self.directory.glob('ledger-*.jsonl'):
            if identifier in Ledger.read(path).starts():
                return int(path.stem.removeprefix('ledger-'))
        return None

    def wait_started(self, *identifiers: str) -> None:
        """Waits until targets have started requests."""
        wanted = set(identifiers)
        wait_until(lambda: wanted <= set(self.starts()), f'starts of {wanted}')


def post(
    client: Client, identifier: str, work_ms: int = 20, **headers: str
) -> Response:
    """Starts a request that must run at most once."""
    pairs = [(name.replace('_', '-'), text) for name, text in headers.items()]
    path = f'/run?id={identifier}&ms={work_ms}'
    return client.request('POST', path, headers=pairs)


def wait_for_end(response: Response) -> Response:
    """Waits for the end of an answer and returns it."""
    assert response.ended.wait(TIMEOUT_S), 'the answer does not end'
    return response


def assert_serves(client: Client, identifier: str) -> None:
    """Checks that a connection is open and its requests are answered."""
    assert not client.is_broken, client.end_reason
    response = wait_for_end(post(client, identifier))
    assert response.outcome == 'answered', (response.failure, response.body)
    assert bytes(response.body) == f'ran {identifier}'.encode()


def _host_number(agent: Address) -> int:
    return int(agent.host.rpartition('.')[2])
