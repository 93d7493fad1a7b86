"""Soak of the connection path, with routable connection IDs."""

import os
import tempfile
from pathlib import Path
from random import Random
from typing import Annotated, Final

import typer

from demo.cluster import Cluster
from demo.cluster_plan import ClusterPlan, Service
from demo.loaded_run import LoadedRun
from demo.verdict import Verdict
from soak.connection_faults import ConnectionFaults

#: Time at the end of the load without new faults, long enough for every wait
#: for readiness and every request to end.
_FAULT_FREE_END_S: Final = 6.0

#: Time before the first fault, in which the load opens its streams.
_FAULT_FREE_START_S: Final = 1.0


def soak_connections(
    *, seed: int, seconds: float, directory: Path
) -> tuple[Verdict, ConnectionFaults]:
    """Runs one cluster under load and faults, and judges it.

    Args:
        seed: Seed of the random faults.
        seconds: Time of faults.
        directory: Where settings, ledgers and logs go.

    Returns:
        The verdict over clients and targets, and the injected faults.
    """
    plan = ClusterPlan(
        name=f'soak-{seed}',
        # Soaks that run at the same time must not share an address.
        network=40 + os.getpid() % 200,
        sites=('north', 'south'),
        pools=(
            (
                (
                    Service(name='bookings', number=1, port=4431),
                    Service(name='dispatch', number=2, port=4432),
                ),
                3,
            ),
            ((Service(name='statements', number=3, port=4433),), 2),
        ),
        slots=2,
    )
    cluster = Cluster(plan=plan, directory=directory)
    run = LoadedRun(
        clusters=[cluster],
        directory=directory,
        streams=6,
        clients=3,
        seconds=seconds + _FAULT_FREE_END_S,
    )
    faults = ConnectionFaults(cluster=cluster, random=Random(seed))
    verdict = Verdict()
    try:
        run.start()
        run.wait_until(_FAULT_FREE_START_S / run.seconds)
        faults.run(run.remaining_s - _FAULT_FREE_END_S)
        run.evaluate(verdict)
    finally:
        cluster.processes.end_all()
    return verdict, faults


def main(
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    seeds: Annotated[int, typer.Option(help='Number of seeds.')] = 1,
    seconds: Annotated[float, typer.Option(help='Time of faults each.')] = 12,
    keep: Annotated[
        Path | None, typer.Option(help='Keep logs and ledgers here.')
    ] = None,
) -> None:
    """Prints a line a seed; exits with 1 if a guarantee was missed."""
    has_failed = False
    for run_seed in range(seed, seed + seeds):
        with tempfile.TemporaryDirectory(prefix='anvilthread-') as temporary:
            directory = (keep or Path(temporary)).resolve() / str(run_seed)
            directory.mkdir(parents=True)
            verdict, faults = soak_connections(
                seed=run_seed, seconds=seconds, directory=directory
            )
        injected = ','.join(f'{k}:{n}' for k, n in faults.injected.items())
        typer.echo(f'seed={run_seed} {verdict.line()} injected={injected}')
        for failure in faults.failures:
            typer.echo(f'seed={run_seed} fault_failed={failure!r}')
        has_failed |= bool(faults.failures) or not verdict.holds
    if has_failed:
        raise typer.Exit(1)


if __name__ == '__main__':
    typer.run(main)
