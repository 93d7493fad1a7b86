"""Clusters under load, and what they have shown at the end."""

import time
from pathlib import Path

import typer

from anvilthread.reports.replay import ALL_GUARANTEES, replay
from anvilthread.reports.trace_file import read_trace
from demo.cluster import Cluster
from demo.verdict import Verdict

#: Time that a load may take to end after its last request.
_LOAD_END_S = 60


class LoadedRun:
    """Starts clusters and their clients, and judges them afterwards.

    Args:
        clusters: One cluster a firm.
        directory: Where results go.
        streams: Streams a service.
        clients: Requesters a service.
        seconds: Time of the load.
    """

    def __init__(
        self,
        *,
        clusters: list[Cluster],
        directory: Path,
        streams: int,
        clients: int,
        seconds: float,
    ) -> None:
        self.clusters = clusters
        self.seconds = seconds
        self._directory = directory
        self._streams = streams
        self._clients = clients
        self._started_s = time.monotonic()

    @property
    def left_s(self) -> float:
        """Time until the load ends."""
        return self._started_s + self.seconds - time.monotonic()

    def start(self) -> None:
        """Starts all processes and, once they are ready, the load."""
        self.say('starting stores, fabrics, balancers, agents and targets')
        for cluster in self.clusters:
            cluster.start()
        for cluster in self.clusters:
            cluster.wait_all_ready()
        self.say('all nodes are ready; starting the load')
        for cluster in self.clusters:
            self._start_load(cluster)
        self._started_s = time.monotonic()

    def wait_until(self, share: float) -> None:
        """Waits until a share of the time of the load has passed."""
        due_s = self._started_s + share * self.seconds
        time.sleep(max(0, due_s - time.monotonic()))

    def judge(self, verdict: Verdict) -> None:
        """Adds what has happened to a verdict, once the load has ended.

        Raises:
            RuntimeError: If a load has ended with a failure.
        """
        self.wait_until(1)
        for cluster in self.clusters:
            if cluster.processes.wait('load', _LOAD_END_S):
                raise RuntimeError(f'the load of {cluster.firm.name} failed')
            outcomes = verdict.add_clients(self._results(cluster))
            verdict.add_ledgers(cluster.ledgers(), outcomes)
            for number, drained_s in cluster.drained.items():
                verdict.add_drain(cluster.ledger(number), drained_s)
            self._replay(cluster, verdict)
            for name in cluster.processes.failed():
                self.say(f'{cluster.firm.name}: {name} has ended by itself')

    def say(self, text: str) -> None:
        """Prints what happens."""
        elapsed_s = time.monotonic() - self._started_s
        typer.echo(f'[{elapsed_s:5.1f} s] {text}')

    def _start_load(self, cluster: Cluster) -> None:
        services = [
            part
            for service in cluster.firm.services
            for part in (
                '--service',
                f'{service.name}={cluster.service_address(service)}',
            )
        ]
        cluster.processes.start(
            'load',
            'standins.load',
            *services,
            '--streams',
            str(self._streams),
            '--clients',
            str(self._clients),
            '--seconds',
            str(self.seconds),
            '--out',
            str(self._results(cluster)),
            '--keys',
            str(cluster.keys),
        )

    def _replay(self, cluster: Cluster, verdict: Verdict) -> None:
        path = cluster.record(self._results(cluster))
        verdict.learn_s = max(verdict.learn_s, cluster.trace.reset_delay_s())
        lost = cluster.trace.count_lost()
        verdict.broken -= lost
        verdict.lost_with_target += lost
        for found in replay(read_trace(path).unwrap(), ALL_GUARANTEES):
            verdict.violated += bool(found.violations)
            for violation in found.violations[:3]:
                self.say(
                    f'{cluster.firm.name}: {found.name}: '
                    f'line {violation.line}: {violation.reason}'
                )

    def _results(self, cluster: Cluster) -> Path:
        return self._directory / f'{cluster.firm.name}.json'
