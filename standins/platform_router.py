"""The routers in front of the balancers, with faults of their links."""

import zlib
from random import Random
from typing import Final

import gevent
from gevent import socket

from standins.platform_target import get_status

_PROBE_INTERVAL_S: Final = 0.5
_MAX_FAILED_PROBES: Final = 2


class PlatformRouter:
    """Distributes packets by hash over the balancers in rotation.

    Args:
        balancers: Hosts of the balancers.
        data_port: Port at which they receive packets.
        ready_port: Port of their readiness endpoint.
        random: Source of the faults.
    """

    def __init__(
        self,
        *,
        balancers: list[str],
        data_port: int,
        ready_port: int,
        random: Random,
    ) -> None:
        self._balancers = balancers
        self._data_port = data_port
        self._ready_port = ready_port
        self._random = random
        self._failed_probes = dict.fromkeys(balancers, 0)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        #: Shares of packets that are dropped, and delayed by up to 30 ms.
        self.loss: float = 0
        self.delay_share: float = 0
        #: Balancers that no packet reaches.
        self.cut: set[str] = set()
        for host in balancers:
            gevent.spawn(self._probe, host)

    @property
    def in_rotation(self) -> list[str]:
        """Balancers that answer the probes; all if fewer than half do."""
        ready = [
            host
            for host in self._balancers
            if self._failed_probes[host] < _MAX_FAILED_PROBES
        ]
        enough = len(ready) * 2 >= len(self._balancers)
        return ready if enough else self._balancers

    def send(self, content: bytes, endpoints: tuple[object, ...]) -> None:
        """Forwards a packet of a client.

        Args:
            content: The packet.
            endpoints: Addresses and ports by which the packet is hashed.
        """
        host = max(
            self.in_rotation,
            key=lambda balancer: (
                zlib.crc32(repr((balancer, endpoints)).encode())
                * 2654435761
                % 4294967296
            ),
        )
        if host in self.cut or self._random.random() < self.loss:
            return
        endpoint = (host, self._data_port)
        if self._random.random() < self.delay_share:
            delay_s = self._random.uniform(0, 0.03)
            gevent.spawn_later(delay_s, self._socket.sendto, content, endpoint)
        else:
            self._socket.sendto(content, endpoint)

    def _probe(self, host: str) -> None:
        while True:
            if get_status(host, self._ready_port, '/readyz') == 200:
                self._failed_probes[host] = 0
            else:
                self._failed_probes[host] += 1
            gevent.sleep(_PROBE_INTERVAL_S)
