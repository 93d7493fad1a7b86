"""Admission, retries and handover of two agents in virtual time.

Run it with ``python -m examples.admission``.
"""

from anvilthread.admission import Limits
from standins.requests import run_request
from standins.virtual_fleet import FleetSettings, VirtualFleet


def main() -> None:
    """Sends six requests to one of two agents with one slot each."""
    settings = FleetSettings(agents=2, limits=Limits(slots=1))
    fleet = VirtualFleet(settings=settings)
    first = fleet.agents[0]
    start_ms = fleet.clock.now_ms()
    exchanges = [
        first.send(
            run_request(
                f'booking-{number}',
                deadline_ms=start_ms + 150,
                query='&ms=60',
            )
        )
        for number in range(6)
    ]
    fleet.clock.advance(300)
    for entry in fleet.ledger.entries:
        if entry.finished is not None:
            print(
                f'{entry.id}: ran from {entry.started - start_ms} '
                f'to {entry.finished - start_ms} ms'
            )
    for exchange in exchanges:
        outcome = exchange.outcome
        if outcome is not None:
            print(f'{exchange.request.path}: {outcome.kind} {outcome.detail}')


if __name__ == '__main__':
    main()
