"""Values of a configuration that its routes do not depend on."""

import json

import pytest
from configuration_codec import decode_configuration

from anvilthread.clock import ManualClock
from anvilthread.flows.route_holder import RouteHolder
from anvilthread.flows.route_table import Route, RouteTable
from anvilthread.flows.service_limits import ServiceLimits
from anvilthread.flows.traffic_class import LOWEST_PRIORITY, TrafficClass
from anvilthread.telemetry.memory_log import MemoryLog
from standins.flow_cluster import flow_key


def _decode(route: dict[str, object], service: object) -> RouteTable:
    address = {
        'name': 'desk',
        'host': '198.18.0.1',
        'prefix': '/80/',
        'service': 'bookings',
    }
    services = None if service is None else [service]
    document = {
        'version': 1,
        'routes': [address | route],
        'services': services,
    }
    return decode_configuration(json.dumps(document).encode()).unwrap()


def _route(table: RouteTable) -> Route:
    route = table.route_of(flow_key(1))
    assert route is not None
    return route


@pytest.mark.parametrize(
    ('route', 'expected', 'ignored'),
    [
        ({}, TrafficClass(), ()),
        (
            {
                'priority': 1,
                'target_latency_ms': 303,
                'timeout_ms': 3600.5,
                'type': 'idempotent',
            },
            TrafficClass(
                priority=1,
                objective_ms=303,
                timeout_ms=3600,
                is_idempotent=True,
            ),
            (),
        ),
        (
            {'target_latency_ms': 900, 'timeout_ms': 500},
            TrafficClass(objective_ms=500, timeout_ms=500),
            (),
        ),
        ({'priority': None, 'type': None}, TrafficClass(), ()),
        ({'priority': -1}, TrafficClass(), ('desk.priority',)),
        (
            {'priority': LOWEST_PRIORITY + 1},
            TrafficClass(),
            ('desk.priority',),
        ),
        ({'priority': True}, TrafficClass(), ('desk.priority',)),
        ({'priority': 'high'}, TrafficClass(), ('desk.priority',)),
        ({'timeout_ms': 1e306}, TrafficClass(), ('desk.timeout_ms',)),
        ({'timeout_ms': [1]}, TrafficClass(), ('desk.timeout_ms',)),
        ({'type': {}}, TrafficClass(), ()),
    ],
)
def test_unusable_requirement_keeps_the_route(
    route: dict[str, object], expected: TrafficClass, ignored: tuple[str, ...]
) -> None:
    """Guards against a configuration refused for a value of one route."""
    table = _decode(route, None)
    assert _route(table).traffic == expected
    assert table.ignored_fields == ignored


@pytest.mark.parametrize(
    ('service', 'expected'),
    [
        (None, ServiceLimits()),
        ({'name': 'bookings'}, ServiceLimits()),
        (
            {
                'name': 'bookings',
                'warmup_s': 2.0,
                'warmup_per_s': 0.5,
                'max_connections': 2000,
            },
            ServiceLimits(warmup_ms=2000, warmup_per_s=0.5, max_flows=2000),
        ),
        ({'name': 'bookings', 'warmup_s': 1e306}, ServiceLimits()),
        ({'name': 'bookings', 'warmup_per_s': None}, ServiceLimits()),
        ({'name': 'bookings', 'warmup_per_s': -3}, ServiceLimits()),
        ({'name': 'bookings', 'max_connections': 'many'}, ServiceLimits()),
        ({'max_connections': 3}, ServiceLimits()),
    ],
)
def test_unusable_limit_keeps_the_routes(
    service: object, expected: ServiceLimits
) -> None:
    """Guards against a configuration refused for a limit of one service."""
    table = _decode({}, service)
    assert len(table) == 1
    assert table.limits_of('bookings') == expected


def test_unusable_values_are_logged() -> None:
    """Guards against a default that no operator notices."""
    log = MemoryLog()
    holder = RouteHolder(clock=ManualClock(start_ms=0), log=log)
    holder.update(_decode({'priority': -1}, None), 'test')
    logged = log.named('configuration_fields_ignored')
    assert [entry.fields['fields'] for entry in logged] == ['desk.priority']
