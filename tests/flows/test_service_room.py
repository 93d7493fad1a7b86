"""Load shedding by the waits that the agents of a service report."""

from collections.abc import Sequence

import pytest

from anvilthread.clock import ManualClock
from anvilthread.flows.flow_key import pack_endpoint
from anvilthread.flows.node_messages import LoadReport
from anvilthread.flows.node_record import NodeRecord, NodeRole
from anvilthread.flows.packet_messages import Place
from anvilthread.flows.roster import Roster
from anvilthread.flows.route_table import Route, RouteTable, ServiceShare
from anvilthread.flows.service_room import ServiceRoom, refused_share
from anvilthread.flows.traffic_class import TrafficClass
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import (
    SERVICE,
    SERVICE_HOST,
    FlowCluster,
    flow_key,
    route_table,
)

_LOW_PORT = 80
_HIGH_PORT = 81
_BULK_PORT = 82
_OBJECTIVE_MS = 303
_PERIOD_MS = 100
_FLOWS = 400
_FULL = 1000
_TRAFFIC = {
    _LOW_PORT: TrafficClass(priority=2, objective_ms=_OBJECTIVE_MS),
    _HIGH_PORT: TrafficClass(priority=1, objective_ms=352),
    _BULK_PORT: TrafficClass(),
}


def _table(*ports: int) -> RouteTable:
    return RouteTable(
        version=2,
        idle_ms=15_000,
        document=b'2',
        routes={
            pack_endpoint(SERVICE_HOST, port): Route(
                name=f'route-{port}',
                shares=(ServiceShare(service=SERVICE, weight=1),),
                traffic=_TRAFFIC[port],
            )
            for port in ports
        },
    )


def _report(number: int, wait_ms: int, **fields: bool | int) -> LoadReport:
    values: dict[str, bool | int] = {'accepts': True, 'limit': 2, 'run_ms': 30}
    values.update(fields)
    return LoadReport(
        node=NodeRecord(
            f'10.0.1.{number}', NodeRole.AGENT, 'site-a', SERVICE, 9
        ),
        sequence=1,
        accepts=bool(values['accepts']),
        working=2,
        busy=2,
        flows=0,
        period_ms=_PERIOD_MS,
        slots=1,
        cold_ms=0,
        version=2,
        check_age_ms=0,
        is_failing=bool(values.get('is_failing', False)),
        run_ms=values['run_ms'],
        wait_ms=wait_ms,
        limit=values['limit'],
    )


class _Balancer:
    """The admission of one balancer that has received reports."""

    def __init__(self, *reports: LoadReport, age_ms: int = 0) -> None:
        self.clock = ManualClock(start_ms=1000)
        record = NodeRecord('10.0.0.1', NodeRole.BALANCER, 'a', '', 1)
        self.roster = Roster(
            clock=self.clock, local_node=record, log=MemoryLog()
        )
        self._room = ServiceRoom(clock=self.clock, roster=self.roster)
        for report in reports:
            self.roster.record_report(report)
        self.clock.advance(age_ms)

    def admitted(
        self, port: int, table: RouteTable | None = None
    ) -> list[bool]:
        """Returns which of many flows to a port are admitted."""
        routes = table or _table(*_TRAFFIC)
        return [
            self._room.admits(SERVICE, flow_key(number, port), routes)
            for number in range(_FLOWS)
        ]


@pytest.mark.parametrize(
    ('reports', 'age_ms'),
    [
        pytest.param((), 0, id='no report yet'),
        pytest.param((_report(0, _FULL), _report(1, 0)), 0, id='one is free'),
        pytest.param(
            (_report(0, _FULL), _report(1, 151)), 0, id='one has half a wait'
        ),
        pytest.param((_report(0, _FULL),), 1000, id='reports lost'),
        pytest.param(
            (_report(0, _FULL), _report(1, 90_000)), 0, id='impossible wait'
        ),
        pytest.param(
            (_report(0, _FULL), _report(1, -1)), 0, id='negative wait'
        ),
        pytest.param(
            (_report(0, _FULL), _report(1, _FULL, limit=0)),
            0,
            id='one does not tell its wait',
        ),
        pytest.param(
            (_report(0, _FULL, accepts=False),), 0, id='all are draining'
        ),
    ],
)
def test_nothing_is_refused(reports: Sequence[LoadReport], age_ms: int) -> None:
    """Guards against refusals while a target is free, or without knowledge."""
    balancer = _Balancer(*reports, age_ms=age_ms)
    for port in _TRAFFIC:
        assert all(balancer.admitted(port))


@pytest.mark.parametrize(
    'other',
    [
        pytest.param(_report(1, 0, accepts=False), id='idle one drains'),
        pytest.param(_report(1, 0, is_failing=True), id='idle one fails'),
        pytest.param(_report(1, 9000), id='the other is overloaded too'),
    ],
)
def test_only_the_lowest_class_is_refused(other: LoadReport) -> None:
    """Guards against refusals of a high priority before all of the lowest.

    Load: the waits exceed the objective of the lowest class, but leave time
    before opening packets are abandoned.
    """
    balancer = _Balancer(_report(0, 600), other)
    assert not any(balancer.admitted(_LOW_PORT))
    assert all(balancer.admitted(_HIGH_PORT))


def test_every_class_is_refused_once_packets_would_be_abandoned() -> None:
    """Guards against flows that wait until their clients give up."""
    balancer = _Balancer(_report(0, 1301), _report(1, 1400))
    for port in _TRAFFIC:
        assert not any(balancer.admitted(port))


@pytest.mark.parametrize('ports', [(_LOW_PORT,), (_LOW_PORT, _BULK_PORT)])
def test_service_without_priorities_refuses_nothing(
    ports: tuple[int, ...],
) -> None:
    """Guards against shedding where no priorities are configured."""
    balancer = _Balancer(_report(0, 9000))
    assert all(balancer.admitted(_LOW_PORT, _table(*ports)))


def test_share_between_the_thresholds_is_the_same_at_all_balancers() -> None:
    """Guards against a step from all to none, and against double refusals."""
    reports = (_report(0, 227), _report(1, 500))
    first = _Balancer(*reports).admitted(_LOW_PORT)
    assert first == _Balancer(*reports).admitted(_LOW_PORT)
    assert first.count(False) == pytest.approx(_FLOWS / 2, rel=0.2)


def test_admission_follows_new_reports() -> None:
    """Guards against a shortest wait that is kept after it has changed."""
    balancer = _Balancer(_report(0, 600))
    assert not any(balancer.admitted(_LOW_PORT))
    balancer.clock.advance(101)
    balancer.roster.record_report(_report(1, 0))
    assert all(balancer.admitted(_LOW_PORT))


@pytest.mark.parametrize('age_ms', [0, 100, 500, 1500, 6000])
def test_lowest_class_is_refused_first(age_ms: int) -> None:
    """Guards against refusals of a high class while a lower one is admitted."""
    previous: tuple[float, float] = (0, 0)
    for wait_ms in range(0, 20_000, 25):
        low, high = (
            refused_share(
                wait_ms=wait_ms,
                age_ms=age_ms,
                objective_ms=_OBJECTIVE_MS,
                is_lowest=is_lowest,
            )
            for is_lowest in (True, False)
        )
        assert not high or low == 1
        assert low >= previous[0]
        assert high >= previous[1]
        previous = (low, high)
    assert previous == (1, 1)


@pytest.mark.parametrize('balancers', [25, 300])
@pytest.mark.parametrize('age_ms', [100, 500, 1500])
@pytest.mark.parametrize(
    ('load', 'low_share'), [(1.3, 0.6), (1.8, 1.0), (1.1, 0.9)]
)
def test_shedding_does_not_oscillate(
    balancers: int, age_ms: int, load: float, low_share: float
) -> None:
    """Guards against refusals by turns with idle targets.

    Load: constant overload, of which a part belongs to the lowest class; the
    reports that balancers use are between half their maximum age and that.
    """
    step_ms = 10
    period = age_ms // 2 // step_ms
    waits: list[float] = [0]
    for step in range(4000):
        admitted: float = 0
        for balancer in range(balancers):
            taken = step - period - (step + balancer) % period
            share = refused_share(
                wait_ms=waits[max(taken, 0)],
                age_ms=age_ms,
                objective_ms=_OBJECTIVE_MS,
                is_lowest=True,
            )
            admitted += (1 - low_share * share) / balancers
        waits.append(max(waits[-1] + (load * admitted - 1) * step_ms, 0))
    settled = waits[-2000:]
    assert min(settled) > 0
    assert max(settled) - min(settled) < 0.2 * max(settled)


@pytest.mark.parametrize('is_overloaded', [True, False])
def test_refused_flow_is_reset_and_not_placed(is_overloaded: bool) -> None:
    """Guards against clients that wait for a flow which is not placed."""
    cluster = FlowCluster(balancers=1, agents=2)
    cluster.configure(_table(*_TRAFFIC))
    node = cluster.balancers[0]
    wait_ms = 600 if is_overloaded else 0
    for number in (1, 2):
        node.roster.record_report(_report(number, wait_ms))
    cluster.open(flow_key(1))
    cluster.open(flow_key(1, _HIGH_PORT))
    cluster.advance(5)
    assert cluster.is_reset(flow_key(1)) is is_overloaded
    assert not cluster.is_reset(flow_key(1, _HIGH_PORT))
    assert cluster.sent[Place] == (1 if is_overloaded else 2)
    resets = node.log.named('flow_reset')
    assert [entry.fields['reason'] for entry in resets] == (
        ['overload'] if is_overloaded else []
    )


def test_lowest_class_of_a_service() -> None:
    """Guards against thresholds taken from another class than the lowest."""
    assert _table(*_TRAFFIC).lowest_class_of(SERVICE) == _TRAFFIC[_LOW_PORT]
    assert route_table(1, {80: SERVICE}).lowest_class_of(SERVICE) is None
