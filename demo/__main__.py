"""Runs both firms through changes and failures under load."""

import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

from anvilthread.reports.replay import ALL_GUARANTEES, replay
from anvilthread.reports.trace_file import read_trace
from demo.cluster import Cluster
from demo.firm import FIRMS
from demo.verdict import Verdict


class Demonstration:
    """Runs the clusters and decides what held.

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
        self._clusters = clusters
        self._directory = directory
        self._streams = streams
        self._clients = clients
        self._seconds = seconds
        self._started_s = time.monotonic()
        self._in_force_s: float = 0
        self._imbalance = 1.0

    def run(self) -> Verdict:
        """Starts everything, changes it under load and ends it."""
        try:
            self._start()
            self._change()
            return self._decide()
        finally:
            for cluster in self._clusters:
                cluster.processes.end_all()

    def _start(self) -> None:
        self._say('starting stores, fabrics, balancers, agents and targets')
        for cluster in self._clusters:
            cluster.start()
        for cluster in self._clusters:
            cluster.wait_all_ready()
        self._say('all nodes are ready; starting the load')
        for cluster in self._clusters:
            self._start_load(cluster)
        self._started_s = time.monotonic()

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
            str(self._seconds),
            '--out',
            str(self._results(cluster)),
            '--keys',
            str(cluster.keys),
        )

    def _change(self) -> None:
        self._wait_until(0.2)
        # Long streams do not move, so evenness is judged before the changes.
        self._imbalance = max(map(_imbalance, self._clusters))
        self._scrape()
        self._at(0.25, 'killing balancer 2', self._kill_balancer)
        self._at(0.32, 'adding balancer 4', self._add_balancer)
        self._at(0.42, 'taking the store down', self._stop_store)
        self._at(0.45, 'draining target 1', self._drain)
        self._at(
            0.55, 'replacing balancer 1 and target 2 together', self._replace
        )
        self._at(0.75, 'bringing the store back', self._start_store)
        self._at(0.8, 'applying a configuration', self._apply)
        self._at(0.9, 'killing the VM of target 3', self._kill_target)

    def _decide(self) -> Verdict:
        verdict = Verdict(
            imbalance=self._imbalance, in_force_s=self._in_force_s
        )
        self._wait_until(1)
        for cluster in self._clusters:
            if cluster.processes.wait('load', 60):
                raise RuntimeError(f'the load of {cluster.firm.name} failed')
            outcomes = verdict.add_clients(self._results(cluster))
            verdict.add_ledgers(cluster.ledgers(), outcomes)
            for number, drained_s in cluster.drained.items():
                verdict.add_drain(cluster.ledger(number), drained_s)
            self._replay(cluster, verdict)
            for name in cluster.processes.failed():
                self._say(f'{cluster.firm.name}: {name} has ended by itself')
        return verdict

    def _replay(self, cluster: Cluster, verdict: Verdict) -> None:
        path = cluster.record(self._results(cluster))
        verdict.learn_s = max(verdict.learn_s, cluster.trace.reset_delay_s())
        lost = cluster.trace.count_lost()
        verdict.broken -= lost
        verdict.lost_with_target += lost
        for found in replay(read_trace(path).unwrap(), ALL_GUARANTEES):
            verdict.violated += bool(found.violations)
            for violation in found.violations[:3]:
                self._say(
                    f'{cluster.firm.name}: {found.name}: '
                    f'line {violation.line}: {violation.reason}'
                )

    def _kill_balancer(self, cluster: Cluster) -> None:
        cluster.kill_balancer(2)
        # The fabric notices later than the balancer dies.
        time.sleep(0.2)
        cluster.update_fabric()

    def _add_balancer(self, cluster: Cluster) -> None:
        cluster.add_balancer(4)

    def _drain(self, cluster: Cluster) -> None:
        cluster.drain_target(1)

    def _replace(self, cluster: Cluster) -> None:
        cluster.add_balancer(5)
        services, _ = cluster.firm.pools[0]
        cluster.add_target(11, services)
        cluster.wait_ready(2, 11)
        cluster.drain_target(2)
        cluster.withdraw_balancer(1)

    def _apply(self, cluster: Cluster) -> None:
        elapsed_s = cluster.apply(deadline_ms=9000)
        self._in_force_s = max(self._in_force_s, elapsed_s)

    def _kill_target(self, cluster: Cluster) -> None:
        cluster.kill_target(3)

    def _stop_store(self, cluster: Cluster) -> None:
        cluster.set_store(outage=True)

    def _start_store(self, cluster: Cluster) -> None:
        cluster.set_store(outage=False)

    def _scrape(self) -> None:
        for cluster in self._clusters:
            cluster.scrape()

    def _at(
        self, share: float, text: str, change: Callable[[Cluster], None]
    ) -> None:
        self._wait_until(share)
        self._say(text)
        with ThreadPoolExecutor() as pool:
            list(pool.map(change, self._clusters))
        self._scrape()

    def _wait_until(self, share: float) -> None:
        due_s = self._started_s + share * self._seconds
        time.sleep(max(0, due_s - time.monotonic()))

    def _results(self, cluster: Cluster) -> Path:
        return self._directory / f'{cluster.firm.name}.json'

    def _say(self, text: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        typer.echo(f'[{elapsed_s:5.1f} s] {text}')


def main(
    seconds: Annotated[float, typer.Option(help='Time of the load.')] = 30,
    streams: Annotated[int, typer.Option(help='Streams a service.')] = 20,
    clients: Annotated[int, typer.Option(help='Requesters a service.')] = 4,
    check_times: Annotated[
        bool, typer.Option(help='Fail when a time limit is missed.')
    ] = True,
    keep: Annotated[
        Path | None, typer.Option(help='Keep logs and ledgers here.')
    ] = None,
) -> None:
    """Prints one line of results; exits with 1 if a guarantee was missed."""
    with tempfile.TemporaryDirectory(prefix='anvilthread-') as temporary:
        directory = keep or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        demonstration = Demonstration(
            clusters=[
                Cluster(firm=firm, directory=directory / firm.name)
                for firm in FIRMS
            ],
            directory=directory,
            streams=streams,
            clients=clients,
            seconds=seconds,
        )
        verdict = demonstration.run()
    typer.echo(verdict.line())
    if not verdict.holds or (check_times and not verdict.in_time):
        sys.exit(1)


def _imbalance(cluster: Cluster) -> float:
    worst = 1.0
    for numbers in cluster.pool_targets():
        counts = cluster.connections()
        pool = [counts[number] for number in numbers if number in counts]
        if sum(pool):
            worst = max(worst, max(pool) * len(pool) / sum(pool))
    return worst


if __name__ == '__main__':
    typer.run(main)
