"""Cost of the control state of a node by the number of members."""

import gc
import tracemalloc
from collections.abc import Callable, Sequence
from statistics import linear_regression
from time import process_time
from types import SimpleNamespace
from typing import Final

from anvilthread.address import Address
from anvilthread.agent.member_balancers import MemberBalancers
from anvilthread.balancer.listeners import Listeners
from anvilthread.clock import SystemClock
from anvilthread.membership import Member, MemberTable, Role
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.subset import Subset, carriers
from standins.membership_cluster import MembershipCluster, address_of

_TABLE_SIZES: Final = (1000, 4000, 16_000)
_BALANCERS: Final = (100, 200, 400)
_ALL_BALANCERS: Final = (400, 1600, 6500)
_SERVICE_AGENTS: Final = 84
_CLUSTER_SIZES: Final = (8, 16, 32, 64)
_CLUSTER_SECONDS: Final = 10
_SERVICE_ADDRESSES: Final = (1000, 10_000)
_SERVICES: Final = 500
_KIB: Final = 1024
_MS: Final = 1000
_OWN: Final = Address(host='192.0.2.1', port=7001)


class OpenListeners:
    """Hands out copies of the listeners, as a forwarder does.

    Args:
        listeners: Listeners by service address.
    """

    def __init__(self, listeners: dict[Address, SimpleNamespace]) -> None:
        self._listeners = listeners

    @property
    def listeners(self) -> dict[Address, SimpleNamespace]:
        """A copy."""
        return dict(self._listeners)


class View:
    """The part of a membership node that balancers are read from.

    Args:
        table: The members.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table


def run() -> None:
    """Prints the measurements."""
    _measure_table()
    _measure_rebuild()
    _measure_receivers()
    _measure_listeners()
    _measure_messages()


def _measure_table() -> None:
    memory: list[float] = []
    seconds: list[float] = []
    for size in _TABLE_SIZES:
        gc.collect()
        tracemalloc.start(1)
        table = _table(size, _agent)
        gc.collect()
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        # The traced run is slower, so time is taken from another one.
        start = process_time()
        _table(size, _agent)
        seconds.append(process_time() - start)
        assert len(table) == size
    bytes_each = linear_regression(_TABLE_SIZES, memory).slope
    each = linear_regression(_TABLE_SIZES, seconds).slope
    print(
        f'member table: {bytes_each / _KIB:.2f} KiB and '
        f'{each * _MS * _MS:.1f} us to add, per member'
    )


def _measure_rebuild() -> None:
    """What a balancer computes when another balancer comes or goes."""
    agents = [
        Candidate(agent=address_of(number)) for number in range(_SERVICE_AGENTS)
    ]
    seconds = []
    for size in _BALANCERS:
        clock = SystemClock()
        placement = LoadAwarePlacement(
            clock=clock,
            table=LoadTable(clock=clock),
            subset=Subset(balancer=_OWN),
        )
        placement.update(1, agents)
        balancers = [address_of(number, 7001) for number in range(size)]
        start = process_time()
        placement.update_balancers(balancers)
        seconds.append(process_time() - start)
    slope = linear_regression(_BALANCERS, seconds).slope / _SERVICE_AGENTS
    print(
        f'change of a balancer, services of more than 32 agents: '
        f'{slope * _MS * _MS:.2f} us per agent and balancer'
    )


def _measure_receivers() -> None:
    """What an agent computes per change of a balancer and per report."""
    renewals = []
    choices = []
    for size in _ALL_BALANCERS:
        table = _table(size, _balancer)
        balancers = MemberBalancers(membership=View(table))
        start = process_time()
        table.put(_balancer(size))
        middle = process_time()
        receivers = carriers(_OWN, list(balancers.live_balancers()))
        choices.append(process_time() - middle)
        renewals.append(middle - start)
        assert receivers
        print(
            f'agent, {size} balancers: {renewals[-1] * _MS:.1f} ms per change '
            f'of a balancer, {choices[-1] * _MS:.1f} ms per report'
        )
    for name, seconds in (('change', renewals), ('report', choices)):
        slope = linear_regression(_ALL_BALANCERS, seconds).slope
        print(f'agent, {name}: {slope * _MS * _MS:.2f} us per balancer')


def _measure_listeners() -> None:
    """What a balancer compares when a configuration changes no address."""
    for size in _SERVICE_ADDRESSES:
        service = SimpleNamespace(
            number=1, addresses=[address_of(number) for number in range(size)]
        )
        open_ones = {
            address: SimpleNamespace(service=1) for address in service.addresses
        }
        listeners = Listeners(
            node=SimpleNamespace(settings=SimpleNamespace(site='site-1')),
            forwarder=OpenListeners(open_ones),
            listen_ip=None,
        )
        configuration = SimpleNamespace(
            carried_at=lambda _, services={'service': service}: services
        )
        start = process_time()
        listeners.apply(configuration)
        spent_ms = (process_time() - start) * _MS
        print(f'configuration, {size} addresses: {spent_ms:.1f} ms to compare')


def _measure_messages() -> None:
    """Bytes and processor time of membership in a quiet cluster."""
    sent: list[float] = []
    seconds: list[float] = []
    for size in _CLUSTER_SIZES:
        cluster = MembershipCluster(seed=1)
        cluster.add_all(size, settle_ms=60_000)
        before = cluster.network.bytes_sent
        start = process_time()
        cluster.clock.advance(_CLUSTER_SECONDS * _MS)
        spent = process_time() - start
        sent.append(
            (cluster.network.bytes_sent - before) / size / _CLUSTER_SECONDS
        )
        seconds.append(spent / size / _CLUSTER_SECONDS)
        cluster.stop()
        print(
            f'{size} nodes: {sent[-1]:.0f} bytes/s and '
            f'{seconds[-1]:.3%} of a core per node'
        )
    _print_slope('bytes/s', sent)


def _print_slope(unit: str, samples: Sequence[float]) -> None:
    slope = linear_regression(_CLUSTER_SIZES, samples).slope
    print(f'slope: {slope * _MS:.1f} {unit} per 1,000 nodes')


def _table(size: int, describe: Callable[[int], Member]) -> MemberTable:
    table = MemberTable()
    for number in range(size):
        table.put(describe(number))
    return table


def _agent(number: int) -> Member:
    return _member(number, Role.AGENT, (1 + number % _SERVICES,))


def _balancer(number: int) -> Member:
    return _member(number, Role.BALANCER, ())


def _member(number: int, role: Role, services: tuple[int, ...]) -> Member:
    return Member(
        control_address=address_of(number),
        role=role,
        site=f'site-{number % 8}',
        data_address=address_of(number, 7001),
        request_address=address_of(number, 7002),
        services=services,
        incarnation=1,
        slots=2,
    )


if __name__ == '__main__':
    run()
