"""The client stand-in of the soak."""

from random import Random

import pytest

from standins.free_port import free_port
from standins.platform_client import ClientObserver, PlatformClient
from standins.platform_packet import RESET, PlatformPacket, read_packet


class _ResettingRouter:
    """Answers every packet with a reset, and records its client port."""

    def __init__(self) -> None:
        self.ports: list[int] = []
        self.client: PlatformClient | None = None

    def send(self, content: bytes, _ends: object) -> None:
        """Resets the flow of a packet."""
        packet, _ = read_packet(content)
        self.ports.append(packet.source[1])
        reset = PlatformPacket(
            source=packet.destination,
            destination=packet.source,
            flags=RESET,
            sequence=0,
            acknowledged=0,
            body=b'',
        )
        assert self.client is not None
        self.client.handle(reset)


@pytest.mark.parametrize('openings', [70_000])
def test_ports_are_used_again(openings: int) -> None:
    """Guards against a client that fails after its last port.

    A cluster that resets every opening packet makes clients open flows
    without a pause, 66,223 of them within 16 s.
    """
    router = _ResettingRouter()
    client = PlatformClient(
        host='127.0.0.1',
        port=free_port(),
        router=router,  # type: ignore[arg-type]
        observer=ClientObserver,  # type: ignore[arg-type]
        random=Random(1),
    )
    router.client = client
    for _ in range(openings):
        assert client.open(('198.18.0.1', 80)) is None
    assert len(router.ports) == openings
    assert max(router.ports) <= 65_535
