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
from anvilthread.balancer.listener_manager import ListenerManager
from anvilthread.clock import SystemClock
from anvilthread.membership import Member, MemberTable, Role
from anvilthread.routing.candidate import Candidate
from anvilthread.routing.load_aware_placement import LoadAwarePlacement
from anvilthread.routing.load_table import LoadTable
from anvilthread.routing.subset import Subset, assigned_balancers
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
#: Milliseconds per second, and microseconds per millisecond.
_MS: Final = 1000
_LOCAL_ADDRESS: Final = Address(host='192.0.2.1', port=7001)


class StubForwarder:
    """Forwarder stub that returns copies of its listeners.

    Args:
        listeners: Listeners by service address.
    """

    def __init__(self, listeners: dict[Address, SimpleNamespace]) -> None:
        self._listeners = listeners

    @property
    def listeners(self) -> dict[Address, SimpleNamespace]:
        """A copy of the listeners."""
        return dict(self._listeners)


class StubMembership:
    """Membership stub with only the table that balancers are read from.

    Args:
        table: The members.
    """

    def __init__(self, table: MemberTable) -> None:
        self.table = table


def run() -> None:
    """Prints the measurements."""
    _measure_table()
    _measure_subset_update()
    _measure_report_receivers()
    _measure_listeners()
    _measure_messages()


def _measure_table() -> None:
    memory: list[float] = []
    seconds: list[float] = []
    for size in _TABLE_SIZES:
        gc.collect()
        tracemalloc.start(1)
        table = _make_table(size, _make_agent)
        gc.collect()
        memory.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        # Tracing slows a run, so a second run without it is timed.
        start = process_time()
        _make_table(size, _make_agent)
        seconds.append(process_time() - start)
        assert len(table) == size
    bytes_each = linear_regression(_TABLE_SIZES, memory).slope
    seconds_each = linear_regression(_TABLE_SIZES, seconds).slope
    print(
        f'member table: {bytes_each / _KIB:.2f} KiB and '
        f'{seconds_each * _MS * _MS:.1f} us to add, per member'
    )


def _measure_subset_update() -> None:
    """Times the work of a balancer when another one joins or leaves."""
    agents = [
        Candidate(agent=address_of(number)) for number in range(_SERVICE_AGENTS)
    ]
    initial, incremental = [], []
    for size in _BALANCERS:
        clock = SystemClock()
        placement = LoadAwarePlacement(
            clock=clock,
            table=LoadTable(clock=clock),
            subset=Subset(balancer=_LOCAL_ADDRESS),
        )
        placement.update(1, agents)
        balancers = [address_of(number, 7001) for number in range(size)]
        start = process_time()
        placement.update_balancers(balancers)
        initial.append(process_time() - start)
        start = process_time()
        placement.update_balancers([*balancers, address_of(size, 7002)])
        incremental.append(process_time() - start)
    slope = linear_regression(_BALANCERS, initial).slope / _SERVICE_AGENTS
    print(
        f'start of a balancer, services of more than 32 agents: '
        f'{slope * _MS * _MS:.2f} us per agent and balancer'
    )
    for size, seconds in zip(_BALANCERS, incremental, strict=True):
        print(
            f'one more balancer beside {size}: '
            f'{seconds / _SERVICE_AGENTS * _MS * _MS:.1f} us per agent'
        )


def _measure_report_receivers() -> None:
    """Times the work of an agent per change of a balancer and per report."""
    change_times = []
    report_times = []
    for size in _ALL_BALANCERS:
        table = _make_table(size, _make_balancer)
        balancers = MemberBalancers(membership=StubMembership(table))
        start = process_time()
        table.put(_make_balancer(size))
        middle = process_time()
        receivers = assigned_balancers(
            _LOCAL_ADDRESS, list(balancers.live_balancers())
        )
        report_times.append(process_time() - middle)
        change_times.append(middle - start)
        assert receivers
        print(
            f'agent, {size} balancers: {change_times[-1] * _MS:.1f} ms per '
            f'change of a balancer, {report_times[-1] * _MS:.1f} ms per report'
        )
    for name, seconds in (('change', change_times), ('report', report_times)):
        slope = linear_regression(_ALL_BALANCERS, seconds).slope
        print(f'agent, {name}: {slope * _MS * _MS:.2f} us per balancer')


def _measure_listeners() -> None:
    """Times the comparison when a configuration changes no address."""
    for size in _SERVICE_ADDRESSES:
        service = SimpleNamespace(
            number=1, addresses=[address_of(number) for number in range(size)]
        )
        open_listeners = {
            address: SimpleNamespace(service=1) for address in service.addresses
        }
        listener_manager = ListenerManager(
            node=SimpleNamespace(settings=SimpleNamespace(site='site-1')),
            forwarder=StubForwarder(open_listeners),
            listen_ip=None,
        )
        configuration = SimpleNamespace(
            carried_at=lambda _, services={'service': service}: services
        )
        start = process_time()
        listener_manager.apply(configuration)
        spent_ms = (process_time() - start) * _MS
        print(f'configuration, {size} addresses: {spent_ms:.1f} ms to compare')


def _measure_messages() -> None:
    """Bytes and processor time of membership in an idle cluster."""
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


def _make_table(size: int, make_member: Callable[[int], Member]) -> MemberTable:
    table = MemberTable()
    for number in range(size):
        table.put(make_member(number))
    return table


def _make_agent(number: int) -> Member:
    return _make_member(number, Role.AGENT, (1 + number % _SERVICES,))


def _make_balancer(number: int) -> Member:
    return _make_member(number, Role.BALANCER, ())


def _make_member(number: int, role: Role, services: tuple[int, ...]) -> Member:
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
