"""Start-up time of the processes that balance flows by address pair."""

import resource
import subprocess
import sys
import time
from pathlib import Path
from statistics import median
from typing import Final

import gevent

from soak.cluster import ROOT, ROUTES, SERVICE_HOST, SoakCluster

_ROUNDS: Final = 5

#: Directory of the installed packages, which must be given because the
#: deployed program starts without ``site``.
_PACKAGES_DIRECTORY: Final = Path(gevent.__file__).parents[1]
_MS_PER_SECOND: Final = 1000

#: Maximum wait for the first answer of a cluster.
_FIRST_ANSWER_TIMEOUT_S: Final = 20

#: Processor capacity of the smallest edges of the two standard and the two
#: grown sites, as a share of a core.
_SMALLEST_EDGE_SHARES: Final = (0.236, 0.163)

#: Time allowed from the start of a process to its first placed packet.
_START_GOAL_S: Final = 0.5


def run() -> None:
    """Prints the processor time of a start, and the time to a first answer."""
    import_ms = median(_measure_import_ms() for _ in range(_ROUNDS))
    print(f'processor time of a start: {import_ms:.0f} ms')
    for share in _SMALLEST_EDGE_SHARES:
        start_s = import_ms / share / _MS_PER_SECOND
        print(
            f'  on {share} of a core: {start_s:.2f} s, target {_START_GOAL_S} s'
        )
    first_answer_s = median(
        _measure_first_answer_s(seed) for seed in range(1, _ROUNDS + 1)
    )
    print(
        f'all processes started at once to the first answer: '
        f'{first_answer_s:.2f} s'
    )


def _measure_import_ms() -> float:
    """Returns the processor time of the imports of a process."""
    before = _children_cpu_s()
    # Without settings, the process exits after its imports.
    subprocess.run(
        (sys.executable, '-S', 'start.py', '--check'),
        cwd=ROOT / 'platform',
        env={'PYTHONPATH': f'{ROOT}:{_PACKAGES_DIRECTORY}'},
        stderr=subprocess.DEVNULL,
        check=False,
    )
    return (_children_cpu_s() - before) * _MS_PER_SECOND


def _children_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime


def _measure_first_answer_s(seed: int) -> float:
    """Returns the time from the start of a cluster to its first answer."""
    cluster = SoakCluster(seed=seed)
    started_s = time.monotonic()
    try:
        cluster.start()
        client = cluster.clients[0]
        flow = None
        while (
            flow is None
            and time.monotonic() - started_s < _FIRST_ANSWER_TIMEOUT_S
        ):
            flow = client.open((SERVICE_HOST, next(iter(ROUTES))))
        if flow is not None:
            client.request(flow, 'q-1', 'bookings')
        return time.monotonic() - started_s
    finally:
        cluster.stop()
