"""The probe of the local target."""

import pytest
from gevent.server import StreamServer

from anvilthread.flow_node.target_probe import is_listening
from standins.free_port import free_port


@pytest.mark.parametrize(
    ('host', 'listens', 'expected'),
    [
        ('127.0.0.1', True, True),
        ('127.0.0.1', False, False),
        # A reserved address cannot be reached, so nothing is known.
        ('255.255.255.255', False, None),
    ],
)
def test_probe(host: str, listens: bool, expected: bool | None) -> None:
    """Guards against a target that counts as absent if the probe fails."""
    port = free_port()
    server = StreamServer(('127.0.0.1', port), lambda *_: None)
    if listens:
        server.start()
    try:
        assert is_listening((host, port)) is expected
    finally:
        server.stop()
