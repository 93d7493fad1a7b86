"""Places flows by load until four agents are evenly loaded.

Run it with ``python -m examples.placement``.
"""

from collections import Counter

from anvilthread.address import Address
from anvilthread.clock import ManualClock
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_report import LoadReport
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.subset import Subset

SERVICE = 1
AGENTS = [Address(host='10.0.2.1', port=port) for port in range(4431, 4435)]
SECONDS = 5
FLOWS_PER_SECOND = 60


def main() -> None:
    """Places flows for a few seconds, with load reports every second."""
    clock = ManualClock()
    table = LoadTable(clock=clock)
    placement = LoadAwarePlacement(
        clock=clock,
        table=table,
        subset=Subset(balancer=Address(host='10.0.1.1', port=4430)),
    )
    placement.update(SERVICE, [Candidate(agent=agent) for agent in AGENTS])
    connections = Counter(dict(zip(AGENTS, (120, 100, 60, 110), strict=True)))
    placed = Counter[Address]()
    for second in range(SECONDS):
        _report(table, second, connections, placed)
        print(second, [connections[agent] for agent in AGENTS])
        clock.skip(1000)
        for number in range(FLOWS_PER_SECOND):
            flow_key = f'client {second} {number}'.encode()
            decision = placement.place(SERVICE, flow_key)
            if decision is not None:
                placed[decision.agent] += 1
                connections[decision.agent] += 1


def _report(
    table: LoadTable,
    sequence: int,
    connections: Counter[Address],
    placed: Counter[Address],
) -> None:
    """Delivers the report of each agent."""
    for agent in AGENTS:
        table.accept(
            LoadReport(
                service=SERVICE,
                agent=agent,
                incarnation=1,
                sequence=sequence,
                connections=connections[agent],
                accepted=placed[agent],
                placed=placed[agent],
                received=placed[agent],
            )
        )


if __name__ == '__main__':
    main()
