"""The target stand-in as a process, killed before, during or after a run."""

import subprocess
import sys
from pathlib import Path

import gevent
import pytest

from anvilthread.address import Address
from anvilthread.admission import Admission, Dispatcher, Limits
from anvilthread.clock import SystemClock
from anvilthread.outcomes import OutcomeKind, RequestHandler
from anvilthread.target import HttpEdge
from standins.collected_answer import CollectedAnswer
from standins.ledger import Ledger
from standins.requests import run_request

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ('moment', 'kind', 'runs'),
    [
        ('before', OutcomeKind.NOT_RUN, []),
        ('during', OutcomeKind.UNKNOWN, ['started']),
        ('after', OutcomeKind.ANSWERED, ['started', 'done']),
    ],
)
def test_killed_target_process(
    tmp_path: Path, moment: str, kind: OutcomeKind, runs: list[str]
) -> None:
    """Guards against an outcome that contradicts the ledger on disk."""
    path = tmp_path / 'ledger'
    path.touch()
    process = subprocess.Popen(
        [
            *(sys.executable, '-m', 'standins.target'),
            *('--listen', '127.0.0.1:0', '--ledger', str(path)),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        assert process.stdout is not None
        address = Address.parse(process.stdout.readline().strip()).unwrap()
        if moment == 'before':
            process.kill()
            process.wait()
        clock = SystemClock()
        handler = RequestHandler(
            runner=Dispatcher(
                clock=clock,
                admission=Admission(clock=clock, limits=Limits(slots=2)),
                edge=HttpEdge(clock=clock, target=address),
            )
        )
        run_ms = 60_000 if moment == 'during' else 1
        request = run_request(
            'x', deadline_ms=clock.now_ms() + 90_000, query=f'&ms={run_ms}'
        )
        task = gevent.spawn(handler.handle, request, CollectedAnswer())
        if moment == 'during':
            while not path.read_text():
                gevent.sleep(0.005)
            process.kill()
        outcome = task.get(timeout=30)
        process.kill()
    assert outcome.kind is kind
    assert [entry.outcome for entry in Ledger.read(path).entries] == runs
