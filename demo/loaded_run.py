"""Clusters under load, and the evaluation of the run."""

import time
from pathlib import Path

import typer

from anvilthread.reports.replay import ALL_GUARANTEES, replay
from anvilthread.reports.trace_file import read_trace
from demo.cluster import Cluster
from demo.verdict import Verdict

#: Longest time that a load process may run after its last request.
_LOAD_EXIT_TIMEOUT_S = 60


class LoadedRun:
    """Starts clusters and their clients, and evaluates them afterwards.

    Args:
        clusters: The clusters, not started yet.
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
    def remaining_s(self) -> float:
        """Time until the load ends."""
        return self._started_s + self.seconds - time.monotonic()

    def start(self) -> None:
        """Starts all processes and, once they are ready, the load."""
        self.print_progress(
            'starting stores, fabrics, balancers, agents and targets'
        )
        for cluster in self.clusters:
            cluster.start()
        for cluster in self.clusters:
            cluster.wait_all_ready()
        self.print_progress('all nodes are ready; starting the load')
        for cluster in self.clusters:
            self._start_load(cluster)
        self._started_s = time.monotonic()

    def wait_until(self, share: float) -> None:
        """Waits until a share of the time of the load has passed."""
        due_s = self._started_s + share * self.seconds
        time.sleep(max(0, due_s - time.monotonic()))

    def evaluate(self, verdict: Verdict) -> None:
        """Waits for the end of the load and adds its results to a verdict.

        Raises:
            RuntimeError: If a load process has failed.
        """
        self.wait_until(1)
        for cluster in self.clusters:
            if cluster.processes.wait('load', _LOAD_EXIT_TIMEOUT_S):
                raise RuntimeError(f'the load of {cluster.plan.name} failed')
            outcomes = verdict.add_clients(self._results(cluster))
            verdict.add_ledgers(cluster.ledgers(), outcomes)
            for number, drained_s in cluster.drained_at_s.items():
                verdict.add_drain(cluster.ledger(number), drained_s)
            self._replay(cluster, verdict)
            for name in cluster.processes.failed():
                self.print_progress(
                    f'{cluster.plan.name}: {name} has ended by itself'
                )

    def print_progress(self, text: str) -> None:
        """Prints a line with the time since the start of the load."""
        elapsed_s = time.monotonic() - self._started_s
        typer.echo(f'[{elapsed_s:5.1f} s] {text}')

    def _start_load(self, cluster: Cluster) -> None:
        services = [
            part
            for service in cluster.plan.services
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
        path = cluster.write_trace(self._results(cluster))
        verdict.learn_s = max(verdict.learn_s, cluster.trace.reset_delay_s())
        lost_count = cluster.trace.count_lost()
        verdict.broken -= lost_count
        verdict.lost_with_target += lost_count
        for result in replay(read_trace(path).unwrap(), ALL_GUARANTEES):
            verdict.violated += bool(result.violations)
            for violation in result.violations[:3]:
                self.print_progress(
                    f'{cluster.plan.name}: {result.name}: '
                    f'line {violation.line}: {violation.reason}'
                )

    def _results(self, cluster: Cluster) -> Path:
        return self._directory / f'{cluster.plan.name}.json'
