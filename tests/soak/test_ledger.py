"""Each promise of the soak can be broken."""

from collections.abc import Callable

import pytest

from soak.ledger import PROMISES, Ledger
from standins.platform_client import ClientFlow


class _Target:
    name = 'i-1'
    drained_s = 1.0


def _ledger() -> Ledger:
    return Ledger(
        holder=lambda _end: _Target(),  # type: ignore[arg-type, return-value]
        lasting=(443,),
    )


def _flow() -> ClientFlow:
    return ClientFlow(
        end=('127.0.0.2', 1024), service_end=('198.18.0.1', 443), start=1
    )


def _answer(text: str, length: int) -> bytes:
    return f'HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}'.encode()


def _run_twice(ledger: Ledger) -> None:
    ledger.on_ask('q-1', 'bookings')
    ledger.on_run('q-1', 'bookings', 'i-1')
    ledger.on_run('q-1', 'bookings', 'i-2')


def _open_removed(ledger: Ledger) -> None:
    ledger.removed_s[9443] = 1.0
    ledger.disturbed_until_s = -10
    ledger.on_opened(9443, 5.0)


@pytest.mark.parametrize(
    ('breaking', 'promise'),
    [
        (
            lambda it: it.on_answer(
                'q-1', 'bookings', _answer('bookings:', 99)
            ),
            'answer_is_own_and_whole',
        ),
        (
            lambda it: it.on_answer(
                'q-1', 'bookings', _answer('bookings:q-2:', 13)
            ),
            'answer_is_own_and_whole',
        ),
        (
            lambda it: it.on_run('q-9', 'bookings', 'i-1'),
            'runs_only_what_was_asked',
        ),
        (_run_twice, 'runs_at_most_once'),
        (lambda it: it.on_opening(_Target()), 'no_work_after_drain'),
        (_open_removed, 'configuration_never_reverts'),
        (lambda it: it.on_reset(_flow()), 'live_flow_is_not_reset'),
        (lambda it: it.on_altered('i-1'), 'packets_unchanged'),
    ],
)
def test_violation(breaking: Callable[[Ledger], None], promise: str) -> None:
    """Guards against a promise that nothing can break."""
    ledger = _ledger()
    ledger.disturbed_until_s = -10
    breaking(ledger)
    assert promise in {broken for broken, _ in ledger.violations}
    assert promise in PROMISES


def test_unplanned_faults_excuse_a_reset_for_a_while() -> None:
    """Guards against a verdict on a machine that is out of touch."""
    ledger = _ledger()
    ledger.disturb(1.0)
    ledger.on_reset(_flow())
    assert ledger.violations == []
