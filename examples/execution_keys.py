"""Repeats with one execution key at several agents, in virtual time.

Run it with ``python -m examples.execution_keys``.
"""

from anvilthread.admission import Limits
from standins.requests import run_request
from standins.virtual_fleet import Exchange, FleetSettings, VirtualFleet

_SERVICE = 1
_DEADLINE_MS = 1000


def send(fleet: VirtualFleet, agent: int, key: str) -> Exchange:
    """Sends the booking through one of the agents."""
    return fleet.agents[agent].send(
        run_request(
            'booking',
            deadline_ms=fleet.clock.now_ms() + _DEADLINE_MS,
            query='&ms=60',
            key=key,
            service=_SERVICE,
        )
    )


def main() -> None:
    """Sends a booking three times, and again after a restart of the owner."""
    fleet = VirtualFleet(settings=FleetSettings(limits=Limits(slots=1)))
    key = fleet.agents[0].issuer.issue(_SERVICE)
    exchanges = {'first': send(fleet, 0, key)}
    fleet.clock.advance(10)
    exchanges['repeat while it runs, at another agent'] = send(fleet, 1, key)
    fleet.clock.advance(500)
    exchanges['repeat after its answer'] = send(fleet, 2, key)
    fleet.clock.advance(500)
    fleet.restart(0)
    exchanges['repeat after a restart of the owner'] = send(fleet, 1, key)
    fleet.clock.advance(2000)
    for name, exchange in exchanges.items():
        outcome = exchange.outcome
        print(f'{name}: {outcome.kind if outcome else "none"}')
    print('runs:', fleet.ledger.starts()['booking'])


if __name__ == '__main__':
    main()
