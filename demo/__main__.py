"""Runs two clusters through changes and failures under load."""

import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Annotated

import typer

from demo.cluster import Cluster
from demo.cluster_plan import PLANS
from demo.loaded_run import LoadedRun
from demo.verdict import Verdict


class Demonstration:
    """Changes the clusters under load and checks the guarantees.

    Args:
        run: The clusters and their load, not started yet.
    """

    def __init__(self, *, run: LoadedRun) -> None:
        self._run = run
        self._clusters = run.clusters
        self._in_force_s: float = 0
        self._imbalance = 1.0

    def run(self) -> Verdict:
        """Starts the clusters, changes them under load and ends them."""
        try:
            self._run.start()
            self._run_changes()
            verdict = Verdict(
                imbalance=self._imbalance, in_force_s=self._in_force_s
            )
            self._run.evaluate(verdict)
        finally:
            for cluster in self._clusters:
                cluster.processes.end_all()
        return verdict

    def _run_changes(self) -> None:
        self._run.wait_until(0.2)
        # Long streams stay at their targets, so the imbalance is measured
        # before the changes.
        self._imbalance = max(map(_imbalance, self._clusters))
        self._scrape()
        self._change_at(0.25, 'killing balancer 2', self._kill_balancer)
        self._change_at(0.32, 'adding balancer 4', self._add_balancer)
        self._change_at(0.42, 'taking the store down', self._stop_store)
        self._change_at(0.45, 'draining target 1', self._drain)
        self._change_at(
            0.55, 'replacing balancer 1 and target 2 together', self._replace
        )
        self._change_at(0.75, 'bringing the store back', self._start_store)
        self._change_at(0.8, 'applying a configuration', self._apply)
        self._change_at(0.9, 'killing the VM of target 3', self._kill_target)

    def _kill_balancer(self, cluster: Cluster) -> None:
        cluster.kill_balancer(2)
        # The fabric detects the death of a balancer with a delay.
        time.sleep(0.2)
        cluster.update_fabric()

    def _add_balancer(self, cluster: Cluster) -> None:
        cluster.add_balancer(4)

    def _drain(self, cluster: Cluster) -> None:
        cluster.drain_target(1)

    def _replace(self, cluster: Cluster) -> None:
        cluster.add_balancer(5)
        services, _ = cluster.plan.pools[0]
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

    def _change_at(
        self, share: float, text: str, change: Callable[[Cluster], None]
    ) -> None:
        self._run.wait_until(share)
        self._run.print_progress(text)
        with ThreadPoolExecutor() as pool:
            list(pool.map(change, self._clusters))
        self._scrape()


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
        directory = (keep or Path(temporary)).resolve()
        directory.mkdir(parents=True, exist_ok=True)
        run = LoadedRun(
            clusters=[
                Cluster(plan=plan, directory=directory / plan.name)
                for plan in PLANS
            ],
            directory=directory,
            streams=streams,
            clients=clients,
            seconds=seconds,
        )
        verdict = Demonstration(run=run).run()
    typer.echo(verdict.line())
    if not verdict.holds or (check_times and not verdict.in_time):
        sys.exit(1)


def _imbalance(cluster: Cluster) -> float:
    worst = 1.0
    for numbers in cluster.pool_targets():
        counts = cluster.connections()
        pool_counts = [counts[number] for number in numbers if number in counts]
        if sum(pool_counts):
            worst = max(
                worst, max(pool_counts) * len(pool_counts) / sum(pool_counts)
            )
    return worst


if __name__ == '__main__':
    typer.run(main)
