"""Listeners of a balancer under a changing configuration."""

from types import SimpleNamespace

from anvilthread.address import Address
from anvilthread.balancer.listener_manager import ListenerManager

ADDRESSES = [Address(host=f'10.0.0.{host}', port=443) for host in range(100)]


class CountingForwarder:
    """Counts the copies of its listeners."""

    def __init__(self) -> None:
        self.copies = 0
        self._listeners = {
            address: SimpleNamespace(service=1) for address in ADDRESSES
        }

    @property
    def listeners(self) -> dict[Address, SimpleNamespace]:
        """A copy, as ``Forwarder`` returns."""
        self.copies += 1
        return dict(self._listeners)


def test_unchanged_addresses_are_compared_once() -> None:
    """Guards against a copy of all listeners for each service address."""
    forwarder = CountingForwarder()
    listener_manager = ListenerManager(
        node=SimpleNamespace(settings=SimpleNamespace(site='kgn-a')),
        forwarder=forwarder,
        listen_ip=None,
    )
    service = SimpleNamespace(number=1, addresses=ADDRESSES)
    listener_manager.apply(
        SimpleNamespace(carried_at=lambda site: {'catalogue': service})
    )
    assert forwarder.copies <= 2
