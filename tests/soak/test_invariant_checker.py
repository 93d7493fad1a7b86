"""Each invariant of the soak can be violated."""

from collections.abc import Callable

import pytest

from soak.invariant_checker import INVARIANTS, InvariantChecker
from standins.platform_client import ClientFlow


class _Target:
    name = 'i-1'
    host = '127.0.0.9'
    drained_s = 1.0


def _checker() -> InvariantChecker:
    return InvariantChecker(
        find_holder=lambda _: _Target(),  # type: ignore[arg-type, return-value]
        permanent_ports=(443,),
        is_evacuated=lambda host: host == _Target.host,
    )


def _flow() -> ClientFlow:
    return ClientFlow(
        client_endpoint=('127.0.0.2', 1024),
        service_endpoint=('198.18.0.1', 443),
        start=1,
    )


def _answer(text: str, length: int) -> bytes:
    return f'HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}'.encode()


def _run_twice(checker: InvariantChecker) -> None:
    checker.on_request('q-1', 'bookings')
    checker.on_run('q-1', 'bookings', 'i-1')
    checker.on_run('q-1', 'bookings', 'i-2')


def _open_on_removed_route(checker: InvariantChecker) -> None:
    checker.route_removed_s[9443] = 1.0
    checker.unplanned_faults_end_s = -10
    checker.on_opened(9443, 5.0)


@pytest.mark.parametrize(
    ('violate', 'invariant'),
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
        (lambda it: it.on_opening(_Target()), 'no_flow_at_evacuated_site'),
        (_open_on_removed_route, 'configuration_never_reverts'),
        (lambda it: it.on_reset(_flow()), 'live_flow_is_not_reset'),
        (lambda it: it.on_altered_packet('i-1'), 'packets_unchanged'),
    ],
)
def test_violation_is_detected(
    violate: Callable[[InvariantChecker], None], invariant: str
) -> None:
    """Guards against an invariant whose violation is not detected."""
    checker = _checker()
    checker.unplanned_faults_end_s = -10
    violate(checker)
    assert invariant in {violated for violated, _ in checker.violations}
    assert invariant in INVARIANTS


def test_reset_after_an_unplanned_fault_is_no_violation() -> None:
    """Guards against violations reported while nodes have no contact."""
    checker = _checker()
    checker.record_fault(1.0)
    checker.on_reset(_flow())
    assert checker.violations == []
