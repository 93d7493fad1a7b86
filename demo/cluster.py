"""A cluster of processes."""

import json
import socket
import time
from pathlib import Path
from typing import Final
from urllib.request import Request, urlopen

from anvilthread.address import Address
from demo.cluster_plan import ClusterPlan, Service
from demo.node_probe import NodeProbe
from demo.processes import Processes
from demo.settings_files import REQUEST_PORT, SettingsFiles
from demo.trace import Trace

_TARGET_PORT: Final = 8080
_FABRIC_CONTROL_PORT: Final = 7900


class Cluster:
    """Starts, changes and ends the processes of one cluster.

    Args:
        plan: Sites, services and addresses of the cluster.
        directory: Where settings, ledgers and logs go.
    """

    def __init__(self, *, plan: ClusterPlan, directory: Path) -> None:
        self.plan = plan
        self._directory = directory
        self._files = SettingsFiles(plan=plan, directory=directory)
        self._balancers: list[int] = []
        self._revision = 0
        self._targets: dict[int, tuple[Service, ...]] = {}
        #: Monotonic time of the drain or kill of each target, by its number.
        self.drained_at_s: dict[int, float] = {}
        self.processes = Processes(directory=directory)
        self.trace = Trace()
        directory.mkdir(parents=True, exist_ok=True)

    @property
    def keys(self) -> Path:
        """The key file."""
        return self._files.keys

    def start(self) -> None:
        """Starts store, fabric, three balancers and all targets."""
        self._write_shared_files()
        self.processes.start(
            'store', 'standins.store', '--listen', self._files.store
        )
        for number in (1, 2, 3):
            self.add_balancer(number, announce=False)
        listen = [
            part
            for service in self.plan.services
            for part in ('--listen', str(self.service_address(service)))
        ]
        self.processes.start(
            'fabric',
            'standins.fabric',
            *listen,
            *(
                part
                for number in (1, 2, 3)
                for part in ('--balancer', self.plan.ip(1, number))
            ),
            '--control',
            f'{self.plan.ip(9, 1)}:{_FABRIC_CONTROL_PORT}',
        )
        number = 1
        for services, count in self.plan.pools:
            for _ in range(count):
                self.add_target(number, services)
                number += 1

    def add_balancer(
        self, number: int, *, announce: bool = True, files: bool = True
    ) -> None:
        """Starts a balancer.

        Args:
            number: Number of the balancer.
            announce: Whether to wait until it is ready and add it to the
                fabric.
            files: Whether it has local configuration files.
        """
        ip = self.plan.ip(1, number)
        settings = {
            **self._files.node(f'balancer-{number}', ip, number, files=files),
            'listen_ip': ip,
        }
        self._start_node('balancer', f'balancer-{number}', settings)
        self._balancers.append(number)
        if announce:
            self.wait_ready(1, number)
            self.update_fabric()

    def kill_balancer(self, number: int) -> None:
        """Kills a balancer, to which the fabric keeps sending packets."""
        self.processes.kill(f'balancer-{number}')
        self.trace.add('node_stopped', f'balancer-{number}', planned=False)
        self._balancers.remove(number)

    def withdraw_balancer(self, number: int) -> None:
        """Removes a balancer from the fabric and stops it gracefully."""
        self._balancers.remove(number)
        self.update_fabric()
        self.trace.add('stop_started', f'balancer-{number}')
        self.processes.stop(f'balancer-{number}')
        self.trace.add('node_stopped', f'balancer-{number}', planned=True)

    def update_fabric(self, **changes: object) -> None:
        """Sends the fabric the current balancers, and faults if any."""
        changes['balancers'] = [
            self.plan.ip(1, number) for number in self._balancers
        ]
        self.send_fabric(**changes)

    def send_fabric(self, **changes: object) -> None:
        """Sends the fabric new balancers or faults."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(
                json.dumps(changes).encode(),
                (self.plan.ip(9, 1), _FABRIC_CONTROL_PORT),
            )

    def add_target(
        self,
        number: int,
        services: tuple[Service, ...],
        *,
        files: bool = True,
        keys: Path | None = None,
    ) -> None:
        """Starts a target and its agent.

        Args:
            number: Number of the target.
            services: Services that it serves.
            files: Whether its agent has local configuration files.
            keys: Key file of its agent; that of the cluster by default.
        """
        self._targets[number] = services
        self.start_target_process(number)
        settings = {
            **self._files.node(
                f'agent-{number}',
                self.plan.ip(2, number),
                number,
                files=files,
            ),
            'keys': str(keys or self.keys),
            'services': [service.name for service in services],
            'target': f'{self.plan.ip(3, number)}:{_TARGET_PORT}',
            'slots': self.plan.slots,
            'certificate': str(self._files.certificate),
            'certificate_key': str(self._files.certificate_key),
            'stop_deadline_ms': 2000,
        }
        self._start_node('agent', f'agent-{number}', settings)

    def start_target_process(self, number: int) -> None:
        """Starts a target without an agent."""
        self.processes.start(
            f'target-{number}',
            'standins.target',
            '--listen',
            f'{self.plan.ip(3, number)}:{_TARGET_PORT}',
            '--slots',
            str(self.plan.slots),
            '--ledger',
            str(self.ledger(number)),
        )

    def drain_target(self, number: int, *, from_answer: bool = False) -> None:
        """Drains a target through the command line.

        Args:
            number: Number of the target.
            from_answer: Whether the drain counts from the agent's answer
                rather than from the start of the command, since the agent
                may be paused when the command reaches it.
        """
        if not from_answer:
            self._record_drain(number)
        self.processes.call(
            'anvilthread',
            'target',
            'drain',
            f'{self.plan.ip(2, number)}:{REQUEST_PORT}',
            '--keys',
            str(self.keys),
        )
        if from_answer:
            self._record_drain(number)

    def kill_target(self, number: int) -> None:
        """Kills a target and its agent, as a loss of their VM would."""
        self.trace.add('node_stopped', f'agent-{number}', planned=False)
        self.processes.kill(f'agent-{number}')
        self.processes.kill(f'target-{number}')
        self.drained_at_s[number] = time.monotonic()

    def set_store(self, **faults: object) -> None:
        """Sets the faults of the store."""
        self._control_store('faults', json.dumps(faults).encode())

    def save_store_copy(self) -> None:
        """Saves a copy of the store's contents."""
        self._control_store('copy')

    def restore_store_copy(self) -> None:
        """Restores the store's contents from the last saved copy."""
        self._control_store('restore')

    def apply(self, deadline_ms: int) -> float:
        """Applies a change and waits until it is in force at every node.

        Args:
            deadline_ms: New deadline of the requests of every service.

        Returns:
            Seconds from the end of the command until the change is in force at
            every node.

        Raises:
            TimeoutError: If that takes more than 30 s.
        """
        self.submit(deadline_ms)
        applied_s = time.monotonic()
        for kind, numbers in ((1, self._balancers), (2, self._live_targets())):
            for number in numbers:
                self.probe(kind, number).wait_revision()
        return time.monotonic() - applied_s

    def submit(self, deadline_ms: int) -> None:
        """Applies a change without waiting for the nodes.

        Args:
            deadline_ms: New deadline of the requests of every service.
        """
        directory = self._files.configuration
        text = self.plan.configuration().replace(
            'stream_paths', f'deadline_ms = {deadline_ms}\nstream_paths'
        )
        (directory / 'base.toml').write_text(text)
        self.processes.call(
            'anvilthread',
            'config',
            'apply',
            str(directory),
            '--store',
            f'http://{self._files.store}',
            '--operator',
            'demo',
            '--revision',
            str(self._revision),
        )
        self._revision += 1
        self.trace.add(
            'configuration_accepted', 'operator', revision=self._revision
        )

    def connections(self) -> dict[int, int]:
        """Returns the open connections of every target, from agent metrics."""
        return {
            number: int(self.probe(2, number).metric('anvilthread_connections'))
            for number in self._live_targets()
        }

    def probe(self, kind: int, number: int) -> NodeProbe:
        """Returns a probe of the HTTP endpoints of a node."""
        return NodeProbe(ip=self.plan.ip(kind, number))

    def wait_ready(self, kind: int, number: int) -> None:
        """Waits until a node is ready for traffic.

        Raises:
            TimeoutError: If that takes more than 30 s.
        """
        self.probe(kind, number).wait_ready()

    def wait_all_ready(self) -> None:
        """Waits until every node is ready."""
        for number in self._balancers:
            self.wait_ready(1, number)
        for number in self._live_targets():
            self.wait_ready(2, number)

    def ledger(self, number: int) -> Path:
        """Returns the path of the ledger of a target."""
        return self._directory / f'ledger-{number}.jsonl'

    def write_trace(self, results: Path) -> Path:
        """Writes the trace of the whole run and returns its path."""
        self.trace.add_clients(json.loads(results.read_text())['trace'])
        for number in self._targets:
            self.trace.add_ledger(self.ledger(number), f'agent-{number}')
        for log in self._directory.glob('*-*.log'):
            self.trace.add_log(log)
        path = self._directory / 'trace.jsonl'
        self.trace.write(path)
        return path

    def ledgers(self) -> list[tuple[Path, frozenset[str]]]:
        """Returns the ledger of every target with the names of its services."""
        found = []
        for number, services in self._targets.items():
            names = frozenset(service.name for service in services)
            found.append((self.ledger(number), names))
        return found

    def pool_targets(self) -> list[list[int]]:
        """Returns the numbers of the targets that are not drained, by pool."""
        return [
            [
                number
                for number, services in self._targets.items()
                if services == pool and number not in self.drained_at_s
            ]
            for pool, _ in self.plan.pools
        ]

    def service_address(self, service: Service) -> Address:
        """Returns the address at which clients reach a service."""
        return Address(host=self.plan.ip(9, 1), port=service.port)

    def _control_store(self, action: str, body: bytes = b'') -> None:
        request = Request(
            f'http://{self._files.store}/control/{action}',
            data=body,
            method='PUT',
        )
        urlopen(request, timeout=5).close()

    def _record_drain(self, number: int) -> None:
        self.drained_at_s[number] = time.monotonic()
        self.trace.add('drain_started', f'agent-{number}')

    def _live_targets(self) -> list[int]:
        names = self.processes.names()
        return sorted(
            int(name.removeprefix('agent-'))
            for name in names
            if name.startswith('agent-')
        )

    def scrape(self) -> None:
        """Saves the metrics of every agent for a burn report."""
        directory = self._directory / 'scrapes'
        directory.mkdir(exist_ok=True)
        now_ms = int(time.time() * 1000)
        for number in self._live_targets():
            path = directory / f'agent-{number}@{now_ms}.prom'
            path.write_bytes(self.probe(2, number).metrics())

    def _start_node(
        self, command: str, name: str, settings: dict[str, object]
    ) -> None:
        path = self._files.write(name, settings)
        self.processes.start(
            name, 'anvilthread', command, '--settings', str(path)
        )

    def _write_shared_files(self) -> None:
        configuration = self._files.configuration
        configuration.mkdir(exist_ok=True)
        (configuration / 'base.toml').write_text(self.plan.configuration())
        self.processes.call(
            'anvilthread',
            'key',
            'new',
            str(self.keys),
            '--certificate',
            str(self._files.certificate),
            '--certificate-key',
            str(self._files.certificate_key),
            '--host',
            'anvilthread.test',
        )
