"""A small deployment of the deployed program, with the project's stand-ins.

The processes run with the command of ``deploy/system.toml``, each on a
loopback address of its own. Store, routers, clients and targets are the
project's stand-ins with the periods of the pages (heartbeats every 1,200 ms).
"""

import os
import signal
import subprocess
import sys
import time
from collections import defaultdict
from pathlib import Path
from typing import Any

import gevent
from gevent.lock import BoundedSemaphore

import soak.cluster as soak_cluster
import standins.platform_target as platform_target
from soak.cluster import ROOT, SERVICES, SoakCluster
from standins.platform_client import PlatformClient
from standins.platform_packet import ACK, RESET, SYN, PlatformPacket
from standins.platform_target import PlatformTarget

#: The site's ``heartbeat_interval_ms``.
HEARTBEAT_MS = 1200
#: The site's ``contact_timeout_ms`` and ``config_apply_ms`` in seconds.
CONTACT_S = 4.0
CONFIG_APPLY_S = 3.0
#: The site's ``drain_timeout_ms`` in seconds.
DRAIN_S = 3.0

soak_cluster._HEARTBEAT_INTERVAL_MS = HEARTBEAT_MS  # noqa: SLF001
platform_target._HEARTBEAT_INTERVAL_S = HEARTBEAT_MS / 1000  # noqa: SLF001


#: Address of the routes, which stands only in packets and configurations.
SERVICE_HOST = '127.255.0.1'
soak_cluster.SERVICE_HOST = SERVICE_HOST

#: Requests that a target works on at a time, as its heartbeats tell, and the
#: time for each in s; to this, the stand-in adds 5 to 40 ms.
SLOTS = 4
WORK_S = (0.01, 0.04)
#: Largest distance of a reset's ``seq`` from the client's last ``ack``.
RESET_WINDOW = 76_800


class Client(PlatformClient):
    """A client that ignores resets out of the window of the pages."""

    def open(self, service_endpoint: tuple[str, int]) -> Any:
        """Opens a flow, and ends the handshake with an acknowledgement."""
        flow = super().open(service_endpoint)
        if flow is not None:
            self._send(flow, ACK, b'')
        return flow

    def handle(self, packet: PlatformPacket) -> None:
        """Handles a packet, unless it is a reset out of the window."""
        flow = self._flows_by_port.get(packet.destination[1])
        if flow is not None and packet.flags & RESET and flow.is_open:
            distance = (packet.sequence - flow.acknowledged) % (1 << 32)
            if min(distance, (1 << 32) - distance) > RESET_WINDOW:
                self._observer.write(
                    f'client ignores reset of {flow.client_endpoint}'
                )
                return
        super().handle(packet)


class Target(PlatformTarget):
    """A target with the site's slots, which queues what exceeds them."""

    #: Offset of the time of day on each VM in ms; 0 for those not listed.
    clock_offsets_ms: dict[str, int] = {}

    def __init__(self, **options: Any) -> None:
        self._slots = BoundedSemaphore(SLOTS)
        super().__init__(**options)
        # The first heartbeat is sent only after this constructor.
        self._born_ms += self.clock_offsets_ms.get(self.host, 0)

    def _handle(self, packet: PlatformPacket, content: bytes) -> None:
        is_own = packet.source in self.flows
        self._observer.on_client_packet(self, packet, is_own=is_own)
        super()._handle(packet, content)

    def _run_request(self, packet: PlatformPacket, flow: Any) -> None:
        with self._slots:
            gevent.sleep(self._random.uniform(*WORK_S))
        super()._run_request(packet, flow)


class Record:
    """Events that clients, targets and the operator see, in record.txt."""

    def __init__(self, path: Path) -> None:
        self._output = path.open('w')
        self._started_s = time.monotonic()
        #: Time of each line.
        self._lines: list[tuple[float, str]] = []
        #: Read by the cluster, which keeps logs if it is not empty.
        self.violations: list[tuple[str, str]] = []
        #: Service and target that ran each request.
        self.runs: dict[str, list[tuple[str, str]]] = defaultdict(list)
        #: Time of each reset of an open flow, by the client's endpoint.
        self.resets: dict[tuple[str, int], float] = {}
        self.altered = 0
        #: Time, target, and whether the target holds the flow, of each packet
        #: that a target has received, by the client's endpoint.
        self.packets: dict[tuple[str, int], list[tuple[float, str, bool]]] = (
            defaultdict(list)
        )

    def write(self, text: str) -> None:
        """Writes one line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        self._lines.append((time.monotonic(), text))
        self._output.write(f'{elapsed_s:8.3f} {text}\n')
        self._output.flush()

    def since(self, text: str) -> float:
        """Returns the time in s since the last line that contains a text."""
        written_s = max(at_s for at_s, line in self._lines if text in line)
        return time.monotonic() - written_s

    def on_request(self, request: str, service: str) -> None:
        self.write(f'client sends request {request} of {service}')

    def on_answer(self, request: str, service: str, body: bytes) -> None:
        self.write(f'client gets answer {request} ({len(body)} bytes)')

    def on_reset(self, flow: Any) -> None:
        self.resets[flow.client_endpoint] = time.monotonic()
        self.write(f'client gets reset of open flow {flow.client_endpoint}')

    def on_altered_packet(self, target: str) -> None:
        self.altered += 1
        self.write(f'altered packet at {target}')

    def on_run(self, request: str, service: str, target: str) -> None:
        self.runs[request].append((service, target))
        self.write(f'target {target} of {service} runs {request}')

    def on_client_packet(
        self, target: Any, packet: PlatformPacket, *, is_own: bool
    ) -> None:
        self.packets[packet.source].append(
            (time.monotonic(), target.name, is_own)
        )
        if not is_own and not packet.flags & SYN:
            self.write(
                f'target {target.name} gets a packet of {packet.source},'
                ' whose flow it does not hold'
            )

    def on_opening(self, target: Any) -> None:
        self.write(f'target {target.name} gets an opening packet')


class Deployment(SoakCluster):
    """The cluster of the soak with the deployed program and its settings."""

    def __init__(
        self, *, seed: int, record: Record, balancers: int, agents: int
    ) -> None:
        super().__init__(
            seed=seed,
            balancers=balancers,
            agents=agents,
            program=('python3', '-S', 'target/platform/start.py'),
        )
        # A time-out must not leave processes behind.
        signal.signal(signal.SIGTERM, lambda *_: fail_to_run('time is up'))
        self.checker = record  # type: ignore[assignment]
        self.record = record

    def start(self) -> None:
        """Starts the deployment, with clients that check resets."""
        soak_cluster.PlatformClient = Client  # type: ignore[misc]
        soak_cluster.PlatformTarget = Target  # type: ignore[misc]
        super().start()

    def start_process(self, host: str) -> None:
        """Starts the process of a VM with the command of the deploy file."""
        path = Path(self._directory.name) / f'{host}.toml'
        path.write_text(self.settings_of(host))
        log = Path(self._directory.name) / f'{host}.log'
        with log.open('ab') as output:
            self.processes[host] = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'ANVILTHREAD_BOOT': str(path),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.record.write(f'process {host} started')

    def settings_of(self, host: str) -> str:
        """Adds the site's bounds to the settings of a VM."""
        return '\n'.join(
            (
                super().settings_of(host),
                '[bounds]',
                'contact_timeout_ms = 4000',
                'drain_timeout_ms = 3000',
                'grace_period_s = 6',
                'config_apply_ms = 3000',
                'rollback_slack_ms = 250',
                'flow_timeout_ms = 2000',
                'flow_lifetime_s = 60',
            )
        )

    def restart_process(self, host: str) -> None:
        """Stops a process by SIGTERM and starts it again at its end."""
        process = self.processes[host]
        self.record.write(f'process {host} gets SIGTERM')
        process.terminate()
        if not self.wait_exit(host, 6.0):
            self.record.write(f'process {host} gets SIGKILL')
            self.kill(host)
        self.start_process(host)

    def log_of(self, host: str) -> str:
        """Returns what the processes of a VM have written."""
        return (Path(self._directory.name) / f'{host}.log').read_text()

    def add_machine(self, service: str) -> str:
        """Adds a VM for a target of a service; starts its agent."""
        host = self._host(2, len(self.services))
        self.services[host] = service
        self.start_process(host)
        return host

    def hosts_of(self, service: str) -> list[str]:
        """Returns the VMs with a target of a service."""
        return [
            host for host, name in self.services.items() if name == service
        ]

    def await_service(self, timeout_s: float = 20.0) -> None:
        """Waits until requests of every service are answered."""
        deadline_s = time.monotonic() + timeout_s
        host, served = self.clients[0], set()
        number = 0
        while len(served) < len(SERVICES):
            if time.monotonic() > deadline_s:
                fail_to_run('the deployment does not serve')
            for port, service in soak_cluster.ROUTES.items():
                number += 1
                flow = host.open((SERVICE_HOST, port))
                if flow and host.request(flow, f'w-{number}', service):
                    served.add(service)
                    host.close(flow)
            gevent.sleep(0.2)


def fail_to_run(reason: str) -> None:
    """Ends a case that could not run."""
    sys.stdout.write(f'could not run: {reason}\n')
    raise SystemExit(2)


def has_trouble() -> bool:
    """Whether the disruption is part of the run."""
    return os.environ.get('TROUBLE', '1') != '0'


def finish(record: Record, rule: str, broken: list[str]) -> None:
    """Writes the verdict and exits with the status of the run."""
    for line in broken:
        record.write(f'{rule} broken: {line}')
    record.write(f'verdict: {rule} {"broken" if broken else "held"}')
    sys.stdout.write(
        f'{rule} {"broken" if broken else "held"}: {len(broken)} cases\n'
    )
    raise SystemExit(1 if broken else 0)
