"""Decoding of the platform's settings, heartbeats and configurations."""

import json
import platform
from pathlib import Path

import pytest
from boot_settings import BootSettingsError, load_boot_settings
from configuration_codec import decode_configuration
from heartbeat_codec import decode_heartbeat
from result import Err, Ok

from anvilthread.flows.node_record import NodeRole
from standins.flow_cluster import flow_key

_BALANCER_BOOT = """
node_name = "edge-1"
serves = ["edge", "control_plane"]
ip = "10.1.0.10"
zone = "site-a"
internal_port_range = [7720, 7735]
seed_nodes = ["10.1.0.10:8166", "10.2.0.40:8166"]
unknown = 5
[bind_addresses]
datagram_endpoint = "10.1.0.10:8172"
readiness = "10.1.0.10:8167"
control_plane = "10.1.0.10:8166"
[platform]
address = "10.200.1.7:8169"
"""
_AGENT_BOOT = (
    _BALANCER_BOOT.replace('["edge", "control_plane"]', '["side"]')
    .replace('unknown = 5', 'app = "10.1.0.10:8165"\nservice = "bookings"')
    .replace('[platform]', 'outbound = "10.1.0.10:8162"\n[platform]')
)


def test_platform_is_the_standard_library() -> None:
    """Guards against a folder that shadows Python's own module."""
    assert platform.python_version_tuple()[0] == '3'


@pytest.mark.parametrize(
    ('text', 'role', 'service'),
    [
        (_BALANCER_BOOT, NodeRole.BALANCER, ''),
        (_AGENT_BOOT, NodeRole.AGENT, 'bookings'),
    ],
)
def test_role_and_ports(
    tmp_path: Path, text: str, role: NodeRole, service: str
) -> None:
    """Guards against a process with the wrong role or ports."""
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    settings = load_boot_settings(str(path)).unwrap()
    assert settings.node.role == role
    assert settings.node.service == service
    assert settings.node.node_port == 7720
    assert settings.node.client_port == 8172
    assert settings.node.contacts == ('10.1.0.10', '10.2.0.40')


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('node_name = ', 'settings file'),
        (_BALANCER_BOOT.replace('ip = "10.1.0.10"', ''), 'ip'),
        (
            _BALANCER_BOOT.replace('[7720, 7735]', '"7720"'),
            'internal_port_range',
        ),
        (_BALANCER_BOOT.replace('10.200.1.7:8169', 'store'), 'store'),
    ],
)
def test_invalid_settings(tmp_path: Path, text: str, named: str) -> None:
    """Guards against a traceback instead of an error naming the field."""
    path = tmp_path / 'boot.toml'
    path.write_text(text)
    loaded = load_boot_settings(str(path))
    assert isinstance(loaded, Err)
    assert isinstance(loaded.err_value, BootSettingsError)
    assert named in str(loaded.err_value)


def test_missing_settings() -> None:
    """Guards against a process that starts without settings."""
    assert isinstance(load_boot_settings('/nowhere/boot.toml'), Err)


_HEARTBEAT = {
    'service': 'bookings',
    'address': '10.1.0.12:8165',
    'zone': 'site-a',
    'version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'warmup_remaining_ms': 0,
    'sequence': 4,
    'born': 1_700_000_000_000,
}


@pytest.mark.parametrize(
    ('changes', 'is_usable'),
    [
        ({}, True),
        ({'state': 'draining'}, True),
        ({'extra': 1}, True),
        ({'state': 'asleep'}, False),
        ({'service': 'statements'}, False),
        ({'address': '10.1.0.13:8165'}, False),
        ({'capacity': '2'}, False),
        ({'capacity': 0}, False),
        ({'sequence': None}, False),
        ({'sequence': 1.5}, False),
    ],
)
def test_heartbeat(changes: dict[str, object], is_usable: bool) -> None:
    """Guards against accepting a heartbeat that names no usable target."""
    body = json.dumps({**_HEARTBEAT, **changes}).encode()
    decoded = decode_heartbeat(
        'i-1', body, service='bookings', address='10.1.0.12:8165'
    )
    assert isinstance(decoded, Ok) == is_usable


@pytest.mark.parametrize('body', [b'', b'[]', b'\xff\xfe', b'{"service": 1}'])
def test_unreadable_heartbeat(body: bytes) -> None:
    """Guards against a crash on bytes that are not a heartbeat."""
    decoded = decode_heartbeat('i-1', body, service='s', address='a')
    assert isinstance(decoded, Err)


_ROUTE = {'name': 'r-1', 'host': '198.18.0.1', 'prefix': '/80/'}


def _document(**route: object) -> bytes:
    return json.dumps({'version': 7, 'routes': [{**_ROUTE, **route}]}).encode()


def test_weighted_route() -> None:
    """Guards against new flows that ignore the weights of a route."""
    table = decode_configuration(
        _document(
            weighted_services=[
                {'service': 'bookings', 'weight': 90},
                {'service': 'statements', 'weight': 10},
            ]
        )
    ).unwrap()
    chosen = []
    for number in range(1000):
        route = table.route_of(flow_key(number))
        assert route is not None
        chosen.append(route.choose(flow_key(number)))
    assert 0.85 < chosen.count('bookings') / len(chosen) < 0.95
    assert table.version == 7


@pytest.mark.parametrize(
    'document',
    [
        b'',
        b'{}',
        _document(prefix='/x/'),
        _document(host='nowhere'),
        _document(prefix='/70000/'),
        _document(weighted_services=[{'service': 'b'}]),
    ],
)
def test_malformed_configuration(document: bytes) -> None:
    """Guards against a configuration that is partly applied."""
    assert isinstance(decode_configuration(document), Err)
