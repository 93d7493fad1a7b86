"""Readiness and metrics of a node over HTTP."""

import time
from typing import Final
from urllib.request import urlopen

from demo.settings_files import METRICS_PORT

_POLL_S: Final = 0.1
_ATTEMPTS: Final = 300
_TIMEOUT_S: Final = 5


class NodeProbe:
    """Reads the readiness and the metrics of one node.

    Args:
        ip: Address of the node.
    """

    def __init__(self, *, ip: str) -> None:
        self._ip = ip
        self._url = f'http://{ip}:{METRICS_PORT}'

    @property
    def is_ready(self) -> bool:
        """Whether the node is ready for traffic."""
        try:
            urlopen(f'{self._url}/ready', timeout=_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def metrics(self) -> bytes:
        """Returns all metrics in the text format.

        Raises:
            OSError: If the node does not answer.
        """
        with urlopen(f'{self._url}/metrics', timeout=_TIMEOUT_S) as answer:
            text: bytes = answer.read()
        return text

    def metric(self, name: str) -> float:
        """Returns the value of the first series of a metric; 0 if none."""
        for line in self.metrics().decode().splitlines():
            if line.startswith((f'{name} ', f'{name}{{')):
                return float(line.rpartition(' ')[2])
        return 0

    def wait_ready(self) -> None:
        """Waits until the node is ready for traffic.

        Raises:
            TimeoutError: If that takes more than 30 s.
        """
        for _ in range(_ATTEMPTS):
            if self.is_ready:
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{self._ip} is not ready')

    def wait_revision(self) -> None:
        """Waits until a configuration from the store is in force.

        Raises:
            TimeoutError: If that takes more than 30 s.
        """
        for _ in range(_ATTEMPTS):
            if self.metric('anvilthread_configuration_revision'):
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{self._ip} has no revision')
