"""Command line of the soak tests."""

from pathlib import Path
from typing import Annotated

import typer

from soak.cluster import SoakCluster
from soak.report import print_report, write_bar_chart
from soak.soak import Soak, SoakResult


def main(
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    seeds: Annotated[int, typer.Option(help='Number of seeds.')] = 1,
    seconds: Annotated[float, typer.Option(help='Time of faults each.')] = 20,
    picture: Annotated[Path | None, typer.Option(help='SVG file.')] = None,
) -> None:
    """Runs soaks one after the other and judges them.

    Every third seed injects planned work and faults of the store only, so
    that any reset of a live flow is a violation.
    """
    results: list[SoakResult] = []
    for number in range(seed, seed + seeds):
        cluster = SoakCluster(seed=number)
        soak = Soak(cluster=cluster, seed=number)
        results.append(soak.run(seconds, only_planned=number % 3 == 0))
    print_report(results)
    if picture is not None:
        write_bar_chart(results, picture)
    if any(result.violations for result in results):
        raise typer.Exit(1)


typer.run(main)
