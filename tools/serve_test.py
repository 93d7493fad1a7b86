"""Serves a request with balancers and agents from the one-file program."""

import os
import sys
import tempfile
from pathlib import Path
from typing import Final

from anvilthread.clock import SystemClock
from demo.cluster import Cluster
from demo.cluster_plan import ClusterPlan, Service
from demo.processes import Processes
from standins.client import Client

_PLAN: Final = ClusterPlan(
    name='binary',
    network=35,
    sites=('site-a',),
    pools=(((Service(name='orders', number=1, port=4431),), 2),),
    slots=1,
)


class BinaryProcesses(Processes):
    """Runs the one-file program in place of the package.

    Args:
        directory: Directory of output files.
        program: Path of the program.
    """

    def __init__(self, *, directory: Path, program: Path) -> None:
        super().__init__(directory=directory)
        self._program = program

    def command(self, module: str) -> tuple[str, ...]:
        """The command that runs a module."""
        if module == 'anvilthread':
            # Without site-packages, only modules in the file can be imported.
            return (sys.executable, '-I', '-S', str(self._program))
        return super().command(module)


def main(program: Path) -> None:
    """Starts a cluster, sends one request and stops the cluster.

    Args:
        program: Path of the one-file program.

    Raises:
        SystemExit: If the request is not answered.
    """
    with tempfile.TemporaryDirectory() as temporary:
        directory = Path(temporary)
        os.environ['SHIV_ROOT'] = str(directory / 'unpacked')
        cluster = Cluster(plan=_PLAN, directory=directory / 'cluster')
        cluster.processes = BinaryProcesses(
            directory=directory / 'cluster', program=program
        )
        try:
            answer = _serve(cluster)
        finally:
            cluster.processes.end_all()
    if answer != 'answered':
        sys.exit(f'{program}: the request was not served: {answer}')
    print(f'{program}: served a request')


def _serve(cluster: Cluster) -> str:
    cluster.start()
    cluster.wait_all_ready()
    client = Client(
        clock=SystemClock(),
        service_address=cluster.service_address(_PLAN.services[0]),
    )
    client.connect()
    response = client.fetch('POST', '/run?id=binary', body=b'order')
    client.close()
    return response.outcome or str(response.failure)


if __name__ == '__main__':
    main(Path(sys.argv[1]).resolve())
