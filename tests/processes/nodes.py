"""A small cluster of real processes."""

import json
import os
import signal
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Final
from urllib.error import HTTPError
from urllib.request import urlopen

import gevent
from gevent import socket

from demo.cluster import Cluster
from demo.cluster_plan import ClusterPlan, Service
from tests.processes.waiting import TIMEOUT_S, run_in_thread, wait_until

BOOKINGS: Final = Service(name='bookings', number=1, port=4431)
STATEMENTS: Final = Service(name='statements', number=2, port=4432)

BALANCERS: Final = (1, 2, 3)
TARGETS: Final = (1, 2, 3)
STATEMENTS_TARGET: Final = 4

BALANCER: Final = 1
AGENT: Final = 2

_KEYS_LOADED: Final = 'event=keys_reloaded'

_PLAN: Final = ClusterPlan(
    name='processes',
    # Test runs at the same time on one machine must not share addresses.
    network=40 + os.getpid() % 200,
    # Balancers 1 and 3 are in the first site, balancer 2 in the second.
    sites=('north', 'south'),
    pools=(((BOOKINGS,), len(TARGETS)), ((STATEMENTS,), 1)),
    slots=2,
)


class Nodes:
    """Three balancers in two sites, and four agents with their targets.

    Args:
        directory: Where settings, ledgers and logs go.
    """

    def __init__(self, *, directory: Path) -> None:
        self.directory = directory
        self.cluster = Cluster(plan=_PLAN, directory=directory)

    def end(self) -> None:
        """Ends every process."""
        self.cluster.processes.end_all()

    def start(self) -> None:
        """Starts every process and waits until all nodes are ready."""
        self.cluster.start()
        run_in_thread(self.cluster.wait_all_ready)
        self.wait_agents_known()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        os.kill(self.cluster.processes.pid(name), number)

    def restart_target(self, number: int) -> None:
        """Starts a killed target and its agent again."""
        services = (STATEMENTS,) if number == STATEMENTS_TARGET else (BOOKINGS,)
        # An incarnation is a time in seconds, so that an earlier restart would
        # repeat it.
        run_in_thread(time.sleep, 1)
        self.cluster.add_target(number, services)
        run_in_thread(self.cluster.wait_ready, AGENT, number)
        self.wait_agents_known()

    def start_target_process(self, number: int) -> None:
        """Starts a killed target again while its agent is running."""
        host = _PLAN.ip(3, number)
        self.cluster.start_target_process(number)
        wait_until(
            lambda: _accepts_connections(host), f'target {number} listens'
        )

    def use_balancers(self, *numbers: int) -> None:
        """Makes the fabric send packets to these balancers only."""
        self.cluster.send_fabric(
            balancers=[_PLAN.ip(BALANCER, number) for number in numbers]
        )

    def remove(self, *names: str) -> None:
        """Kills added processes and uses the first balancers again."""
        self.use_balancers(*BALANCERS)
        for name in names:
            self.cluster.processes.kill(name)

    def apply(self) -> None:
        """Applies the configuration and waits until it is in force."""
        run_in_thread(self.cluster.apply, 9000)

    def rotate_keys(self, kinds: Iterable[str], step: str) -> None:
        """Runs a rotation step for kinds of keys and reloads every node."""
        command = ('key', 'rotate', str(self.cluster.keys), '--step', step)
        for kind in kinds:
            self.run_command(*command, '--kind', kind)
        for name in self.cluster.processes.names():
            if name.startswith(('balancer-', 'agent-')):
                self._reload_keys(name)

    def wait_agents_known(self) -> None:
        """Waits until every balancer knows every agent as alive."""
        waits = [
            gevent.spawn(
                wait_until,
                partial(self._knows_all_agents, number),
                f'balancer {number} knows every agent',
            )
            for number in BALANCERS
        ]
        gevent.joinall(waits, raise_error=True)

    def targets(self, balancer: int) -> list[dict[str, object]]:
        """Returns the targets that a balancer knows."""
        text = self.run_json_command(
            'target', 'list', self.request_address(BALANCER, balancer)
        )
        return json.loads(text)

    def run_command(self, *arguments: str) -> str:
        """Runs a command and returns its output."""
        return run_in_thread(
            self.cluster.processes.call, 'anvilthread', *arguments
        )

    def run_json_command(self, *arguments: str) -> str:
        """Runs a command that queries a node and returns its JSON output."""
        return run_in_thread(
            self.cluster.processes.call,
            'anvilthread',
            *arguments,
            '--json',
            '--keys',
            str(self.cluster.keys),
        )

    def request_address(self, kind: int, number: int) -> str:
        """Returns the address of a node for operator requests."""
        return f'{_PLAN.ip(kind, number)}:7947'

    def wait_metric(
        self, kind: int, number: int, name: str, wanted: float
    ) -> None:
        """Waits until a node's metric, summed over its labels, has a value."""
        wait_until(
            lambda: self.metric(kind, number, name) == wanted,
            f'{name} of {kind}.{number} is {wanted}',
        )

    def metric(self, kind: int, number: int, name: str) -> float:
        """Returns a metric of a node, summed over all labels."""
        lines = self._get(kind, number, 'metrics').splitlines()
        return sum(map(_last_number, filter(_series_filter(name), lines)))

    def log(self, name: str) -> str:
        """Returns the log of a process so far."""
        return (self.directory / f'{name}.log').read_text()

    def wait_exit(self, name: str) -> int:
        """Waits for the end of a process and returns its exit code."""
        return run_in_thread(self.cluster.processes.wait, name, TIMEOUT_S)

    def wait_ready(self, kind: int, number: int) -> None:
        """Waits until a node is ready for traffic."""
        run_in_thread(self.cluster.wait_ready, kind, number)

    def is_ready(self, kind: int, number: int) -> bool:
        """Whether a node is ready for traffic."""
        try:
            self._get(kind, number, 'ready')
        except HTTPError:
            return False
        return True

    def _reload_keys(self, name: str) -> None:
        loaded = self.log(name).count(_KEYS_LOADED)
        self.send_signal(name, signal.SIGHUP)
        wait_until(
            lambda: self.log(name).count(_KEYS_LOADED) > loaded,
            f'{name} has loaded its keys',
        )

    def _knows_all_agents(self, balancer: int) -> bool:
        states = [target['state'] for target in self.targets(balancer)]
        return states.count('alive') == len(TARGETS) + 1

    def _get(self, kind: int, number: int, path: str) -> str:
        url = f'http://{_PLAN.ip(kind, number)}:9100/{path}'

        def fetch() -> str:
            with urlopen(url, timeout=5) as answer:
                return answer.read().decode()

        return run_in_thread(fetch)


def _series_filter(name: str) -> Callable[[str], bool]:
    return lambda line: line.startswith((f'{name} ', f'{name}{{'))


def _last_number(line: str) -> float:
    return float(line.rpartition(' ')[2])


def _accepts_connections(host: str) -> bool:
    try:
        socket.create_connection((host, 8080), timeout=1).close()
    except OSError:
        return False
    return True
