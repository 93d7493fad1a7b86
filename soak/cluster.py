"""The real programs as processes on loopback addresses."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Final

import gevent
import msgspec

from soak.evacuations import EVACUATION_LIMIT_MS, Evacuations
from soak.invariant_checker import InvariantChecker
from standins.free_port import free_port
from standins.metadata_server import MetadataServer
from standins.platform_client import PlatformClient
from standins.platform_router import PlatformRouter
from standins.platform_target import PlatformTarget

ROOT: Final = Path(__file__).resolve().parent.parent
SERVICES: Final = ('bookings', 'statements')
SITES: Final = ('site-a', 'site-b', 'site-c')

#: Service of each permanent route, by port, and the port of a temporary route.
ROUTES: Final = {443: 'bookings', 8443: 'statements'}
EXTRA_PORT: Final = 9443
SERVICE_HOST: Final = '198.18.0.1'

_HEARTBEAT_INTERVAL_MS: Final = 300

#: Number of loopback networks to choose from, starting at 127.1.0.0/16.
_NETWORK_COUNT: Final = 250
_PORT_NAMES: Final = ('data', 'ready', 'control', 'app', 'outbound')


class SoakCluster:
    """Balancers, agents with targets, clients, routers and a store.

    Every VM is one loopback address, so that all of them can use the same
    ports, as on the platform.

    Args:
        seed: Seed of every random choice of the stand-ins.
        balancers: Number of balancers.
        agents: Number of agents of each service.
        program: Command that starts a process; by default the platform's
            start script. Tests pass a program with a deliberate fault.
    """

    def __init__(
        self,
        *,
        seed: int,
        balancers: int = 3,
        agents: int = 3,
        program: tuple[str, ...] = (),
    ) -> None:
        self._seed = seed
        self.random = Random(seed)
        self._command = program or (
            sys.executable,
            str(ROOT / 'platform' / 'start.py'),
        )
        self.ports = {name: free_port() for name in _PORT_NAMES}
        self._node_port = free_port()
        # Soaks that run at the same time must not share an address.
        self._network = f'127.{1 + os.getpid() % _NETWORK_COUNT}'
        self.store = MetadataServer(
            endpoint=('127.0.0.1', free_port()), seed=seed
        )
        self.balancers = [self._host(1, index) for index in range(balancers)]
        self.targets: dict[str, PlatformTarget] = {}
        self.services: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._version = 0
        self._document = b''
        self.evacuations = Evacuations(
            store=self.store, find_hosts=self._hosts_of_site
        )
        self.checker = InvariantChecker(
            find_holder=self._find_holder,
            permanent_ports=ROUTES,
            is_evacuated=self.evacuations.is_in_force,
        )
        self._directory = tempfile.TemporaryDirectory(
            prefix='anvilthread-soak-'
        )
        self._target_starts = 0
        self._agent_count = agents

    @property
    def hosts(self) -> list[str]:
        """Addresses of all VMs with a process."""
        return [*self.balancers, *self.services]

    def start(self) -> None:
        """Starts the store, the processes, the targets and the clients."""
        self.store.start()
        self.configure(())
        for index in range(self._agent_count * len(SERVICES)):
            host = self._host(2, index)
            self.services[host] = SERVICES[index % len(SERVICES)]
        for host in self.hosts:
            self.start_process(host)
        for host in self.services:
            self.start_target(host)
        self.router = PlatformRouter(
            balancers=self.balancers,
            data_port=self.ports['data'],
            ready_port=self.ports['ready'],
            random=self.random,
        )
        self.clients = [
            PlatformClient(
                host=self._host(3, index),
                port=self.ports['data'],
                router=self.router,
                observer=self.checker,
                random=self.random,
            )
            for index in range(4)
        ]

    def stop(self) -> None:
        """Ends all processes; keeps their logs if an invariant was violated."""
        for host in list(self.processes):
            self.kill(host)
        for target in self.targets.values():
            target.stop()
        self.store.stop()
        if self.checker.violations:
            self._keep_logs()
        self._directory.cleanup()

    def configure(self, extra: tuple[int, ...]) -> None:
        """Writes a configuration to the store.

        Args:
            extra: Ports of additional routes to bookings.
        """
        self._version += self.random.randint(1, 5)
        routes = {**ROUTES, **dict.fromkeys(extra, SERVICES[0])}
        document = {
            'version': self._version,
            'routes': [
                {
                    'name': f'r-{port}',
                    'host': SERVICE_HOST,
                    'prefix': f'/{port}/',
                    'service': service,
                }
                for port, service in routes.items()
            ],
            'limits': {'idle_timeout_ms': 15_000},
        }
        self._document = msgspec.json.encode(document)
        self.write_configuration()

    def write_configuration(self) -> None:
        """Writes what the operator has written, again if it was lost."""
        self.store.write('op/config', self._document)
        self.evacuations.write()

    def site_of(self, host: str) -> str:
        """Returns the site of a VM; each has targets of every service."""
        index = int(host.split('.')[3]) - 1
        if host in self.services:
            index //= len(SERVICES)
        return SITES[index % len(SITES)]

    def start_process(self, host: str) -> None:
        """Starts the process of a VM."""
        path = Path(self._directory.name) / f'{host}.toml'
        path.write_text(self.settings_of(host))
        log = Path(self._directory.name) / f'{host}.log'
        with log.open('ab') as output:
            self.processes[host] = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={
                    **os.environ,
                    'ANVILTHREAD_BOOT': str(path),
                    'PYTHONPATH': str(ROOT),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def signal(self, host: str, number: signal.Signals) -> None:
        """Sends a signal to the process of a VM, if it still runs."""
        process = self.processes.get(host)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, host: str) -> None:
        """Kills the process of a VM."""
        process = self.processes.pop(host, None)
        if process is not None:
            process.kill()
            process.wait()

    def wait_exit(self, host: str, timeout_s: float) -> bool:
        """Waits for the end of a process; returns whether it has ended."""
        deadline_s = time.monotonic() + timeout_s
        process = self.processes.get(host)
        while process is not None and process.poll() is None:
            if time.monotonic() > deadline_s:
                return False
            gevent.sleep(0.02)
        # A concurrent fault may have killed and restarted the process.
        if self.processes.get(host) is process:
            self.processes.pop(host, None)
        return True

    def start_target(self, host: str) -> None:
        """Starts a target, after stopping its predecessor if there is one."""
        previous = self.targets.pop(host, None)
        if previous is not None:
            previous.stop()
        self._target_starts += 1
        self.targets[host] = PlatformTarget(
            name=f'i-{self._target_starts}',
            service=self.services[host],
            host=host,
            ports=self.ports,
            observer=self.checker,
            random=self.random,
        )

    def settings_of(self, host: str) -> str:
        """Returns the settings file of a VM."""
        ports = self.ports
        is_agent = host in self.services
        lines = [
            f'node_name = "{host}"',
            f'ip = "{host}"',
            f'zone = "{self.site_of(host)}"',
            f'serves = ["{"side" if is_agent else "edge"}"]',
            f'internal_port_range = [{self._node_port}, {self._node_port + 9}]',
            f'heartbeat_interval_ms = {_HEARTBEAT_INTERVAL_MS}',
            f'seed_nodes = {_toml_addresses(self.balancers, ports["control"])}',
        ]
        if is_agent:
            lines += [
                f'app = "{host}:{ports["app"]}"',
                f'service = "{self.services[host]}"',
            ]
        lines += [
            '[bounds]',
            f'evacuation_ms = {EVACUATION_LIMIT_MS}',
            '[bind_addresses]',
            f'datagram_endpoint = "{host}:{ports["data"]}"',
            f'readiness = "{host}:{ports["ready"]}"',
            f'control_plane = "{host}:{ports["control"]}"',
            f'outbound = "{host}:{ports["outbound"]}"' if is_agent else '',
            '[platform]',
            f'address = "127.0.0.1:{self.store.port}"',
        ]
        return '\n'.join(lines)

    def _keep_logs(self) -> None:
        """Copies the logs to run/."""
        runs = ROOT / 'run'
        runs.mkdir(exist_ok=True)
        # A later run of the same seed must not replace the logs.
        destination = tempfile.mkdtemp(prefix=f'soak-{self._seed}-', dir=runs)
        shutil.copytree(self._directory.name, destination, dirs_exist_ok=True)

    def _hosts_of_site(self, site: str) -> list[str]:
        return [host for host in self.services if self.site_of(host) == site]

    def _find_holder(self, client: tuple[str, int]) -> PlatformTarget | None:
        for target in self.targets.values():
            if target.holds(client):
                return target
        return None

    def _host(self, group: int, index: int) -> str:
        return f'{self._network}.{group}.{index + 1}'


def _toml_addresses(hosts: list[str], port: int) -> str:
    entries = ', '.join(f'"{host}:{port}"' for host in hosts)
    return f'[{entries}]'
