"""Opens and closes the listeners that the configuration calls for."""

from anvilthread.address import Address
from anvilthread.balancer.forwarder import Forwarder
from anvilthread.balancer.service_listener import ServiceListener
from anvilthread.configuration.configuration import Configuration
from anvilthread.daemon.node import Node


class ListenerManager:
    """Opens and closes service addresses when the configuration changes.

    Args:
        node: The process.
        forwarder: Forwards what the listeners receive.
        listen_ip: Replaces the IP of every service address, if given.
    """

    __slots__ = ('_forwarder', '_listen_ip', '_node')

    def __init__(
        self, *, node: Node, forwarder: Forwarder, listen_ip: str | None
    ) -> None:
        self._node = node
        self._forwarder = forwarder
        self._listen_ip = listen_ip

    def apply(self, configuration: Configuration) -> None:
        """Makes the listeners match the services of this site."""
        carried = configuration.carried_at(self._node.settings.site)
        desired = {
            address: service.number
            for service in carried.values()
            for address in service.addresses
        }
        for address, listener in self._forwarder.listeners.items():
            if desired.get(address) != listener.service:
                self._forwarder.remove_listener(address)
                self._node.log.event('listener_closed', address=address)
        still_open = self._forwarder.listeners
        for address, number in desired.items():
            if address not in still_open:
                self._open(address, number)

    def _open(self, address: Address, number: int) -> None:
        bind_address = address
        if self._listen_ip is not None:
            bind_address = Address(host=self._listen_ip, port=address.port)
        try:
            listener = ServiceListener(
                service=number,
                service_address=address,
                bind_address=bind_address,
            )
        except OSError as error:
            self._node.log.warning(
                'listener_failed',
                address=bind_address,
                error=error,
                remedy='free the address or correct listen_ip',
            )
            return
        self._forwarder.add_listener(listener)
        self._node.spawn(self._run_listener, listener)
        self._node.log.event(
            'listener_opened', address=bind_address, service=number
        )

    def _run_listener(self, listener: ServiceListener) -> None:
        try:
            self._forwarder.run_listener(listener)
        except OSError:
            # A configuration change has closed this listener.
            return
